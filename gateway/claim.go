package gateway

import (
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/queue"
)

// maxClaimsPerFrame bounds the size of a frame of claims to about 100 KB.
const maxClaimsPerFrame = 1000

// shareClaims sends claims to another gateway. g.mu must be held.
func (g *Gateway) shareClaims(a queue.ShareClaims) {
	p := g.peers[a.Peer]
	if p == nil {
		return
	}
	for jobs := range slices.Chunk(a.Jobs, maxClaimsPerFrame) {
		// The error is ignored: the jobs are claimed again on the next link.
		_ = p.link.Send(message.TypeClaim, 0, message.Claim{Jobs: jobs})
	}
}

// answerClaims answers claims of another gateway. g.mu must be held.
func (g *Gateway) answerClaims(a queue.AnswerClaims) {
	p := g.peers[a.Peer]
	if p == nil {
		return
	}
	// The error is ignored: the other gateway claims its jobs again on the next link.
	_ = p.link.Send(message.TypeClaimAnswer, 0, a.Answer)
}

// handleClaimFrame handles the claims of another gateway, or its answer to claims. g.mu must be held.
func (g *Gateway) handleClaimFrame(now clock.Millis, name string, f message.Frame) error {
	if f.Type == message.TypeClaim {
		var c message.Claim
		if err := f.DecodeBody(&c); err != nil {
			return err
		}
		g.perform(g.scheduler.HandleClaims(now, name, c.Jobs))
		return nil
	}
	var a message.ClaimAnswer
	if err := f.DecodeBody(&a); err != nil {
		return err
	}
	g.perform(g.scheduler.HandleClaimAnswer(now, name, a))
	return nil
}
