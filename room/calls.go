package room

import "github.com/lavendercourse/lavendercourse/clock"

const (
	// minCallTimeout and MaxCallTimeout, in ms, bound the time-out of a call to the worker. The lower bound leaves time
	// for a runner that shares its processor.
	minCallTimeout = 8 * clock.Millis(1)
	// MaxCallTimeout is also the time-out while the worker answers all calls: repeating a call that was only slow, because
	// the runner had to wait for its processor, costs more than it gains.
	MaxCallTimeout = 60 * clock.Millis(1)
	// roundTripGain and deviationGain are the weights of a new measurement in the means of the round-trip time and of its
	// deviation, and deviationFactor is the number of deviations that a time-out exceeds the mean by, as in TCP.
	roundTripGain   = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
	// lossGain is the weight of a call in the share of lost answers. From lossyShare on, the worker counts as losing answers
	// until the share has fallen to lossFreeShare: single losses do not change how it is called.
	lossGain      = 1.0 / 32
	lossyShare    = 0.04
	lossFreeShare = 0.02
	// callsPerDoubling is the number of calls without an answer after which the time-out doubles. Several in a row are
	// usual for a worker that leaves half of its calls unanswered.
	callsPerDoubling = 4
)

// callStats estimates, from the calls to a worker, how long its answers take and which share of them is lost. A call that
// is not answered in time is repeated on another connection, so the shorter the time-out the less a lost answer delays.
// The first call stays open: an answer that was only slow corrects the estimates, and its connection remains in use.
type callStats struct {
	// roundTrip and deviation are the smoothed round-trip time and its mean deviation in ms. measured is set once a call
	// was answered.
	roundTrip float64
	deviation float64
	measured  bool
	// lostShare is the smoothed share of calls without an answer, unanswered the number of such calls since the last
	// answer.
	lostShare  float64
	unanswered int
	// lossy is set while the worker counts as losing answers.
	lossy bool
}

// answered records a call whose answer took the given time in ms.
func (s *callStats) answered(took clock.Millis) {
	s.unanswered = 0
	s.setLostShare(s.lostShare * (1 - lossGain))
	difference := float64(took) - s.roundTrip
	if !s.measured {
		s.roundTrip, s.deviation, s.measured = float64(took), float64(took)/2, true
		return
	}
	s.roundTrip += difference * roundTripGain
	s.deviation += (max(difference, -difference) - s.deviation) * deviationGain
}

// answeredLate records the answer to a call that was recorded as lost.
func (s *callStats) answeredLate(took clock.Millis) {
	s.answered(took)
	s.setLostShare(max(s.lostShare-lossGain, 0))
}

// lost records a call that got no answer in time.
func (s *callStats) lost() {
	s.unanswered++
	s.setLostShare(s.lostShare + (1-s.lostShare)*lossGain)
}

func (s *callStats) setLostShare(share float64) {
	s.lostShare = share
	s.lossy = share >= lossyShare || (s.lossy && share > lossFreeShare)
}

// timeout returns the time in ms to wait for the answer to the next call. It grows while no call gets an answer, so that a
// worker that has become slow is not called over and over.
func (s *callStats) timeout() clock.Millis {
	if !s.measured || !s.lossy {
		return MaxCallTimeout
	}
	// The clock counts whole ms, so that answers may take up to 1 ms longer than measured.
	timeout := max(clock.Millis(s.roundTrip+max(deviationFactor*s.deviation, 1)), minCallTimeout)
	for n := callsPerDoubling; n <= s.unanswered && timeout < MaxCallTimeout; n += callsPerDoubling {
		timeout *= 2
	}
	return min(timeout, MaxCallTimeout)
}
