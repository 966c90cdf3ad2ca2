package process

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/standin/platform"
)

// publish sets a key through an entry. It returns the answer and the time of its arrival.
func (c *cluster) publish(entry int, id, key, value string, base uint64) (*dispatchv1.PublishConfigResponse, time.Time) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	resp, err := c.operatorClient(entry).PublishConfig(ctx, connect.NewRequest(&dispatchv1.PublishConfigRequest{
		Id: id, Key: key, Value: value, Base: base,
	}))
	if !assert.Check(c.t, err) {
		return &dispatchv1.PublishConfigResponse{}, time.Now()
	}
	return resp.Msg, time.Now()
}

func (c *cluster) getConfig(entry int) (*dispatchv1.GetConfigResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := c.operatorClient(entry).GetConfig(ctx, connect.NewRequest(&dispatchv1.GetConfigRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// valueOf returns the value and version of a key.
func valueOf(cfg *dispatchv1.GetConfigResponse, key string) (string, uint64) {
	for _, e := range cfg.GetEntries() {
		if e.GetKey() == key {
			return e.GetValue(), e.GetVersion()
		}
	}
	return "", 0
}

// checkInForce checks that an accepted value is in force on the given entries within propagationBound of its
// acceptance.
func (c *cluster) checkInForce(accepted time.Time, key, value string, entryIndexes ...int) {
	c.t.Helper()
	for _, i := range entryIndexes {
		for {
			requested := time.Now()
			cfg, err := c.getConfig(i)
			if got, _ := valueOf(cfg, key); err == nil && got == value {
				break
			}
			if requested.Sub(accepted) > propagationBound {
				c.t.Errorf("%s is not %s on entry %d %v after acceptance: %v %v", key, value, i, requested.Sub(accepted), cfg, err)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// watchVersions polls the configuration version of every entry. The returned function ends this and returns a finding
// for each decrease of the version at an entry.
func (c *cluster) watchVersions() func() []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var findings []string
	stop := make(chan struct{})
	for i := range entryCount {
		wg.Go(func() {
			var previous uint64
			for {
				if cfg, err := c.getConfig(i); err == nil {
					if cfg.GetVersion() < previous {
						mu.Lock()
						findings = append(findings, fmt.Sprintf("configuration version of entry %d fell from %d to %d", i, previous, cfg.GetVersion()))
						mu.Unlock()
					}
					previous = cfg.GetVersion()
				}
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	return func() []string {
		close(stop)
		wg.Wait()
		return findings
	}
}

// racePublish publishes six values of a key concurrently, with the same base and through all entries. Exactly one must
// be accepted, and racePublish returns its value and the time of its acceptance.
func (c *cluster) racePublish(key string, base uint64) (value string, accepted time.Time) {
	c.t.Helper()
	var mu sync.Mutex
	winners := 0
	parallel(6, func(i int) {
		id, v := fmt.Sprintf("race-%d", serialNumber.Add(1)), fmt.Sprint(10+i)
		resp, at := c.publish(i%entryCount, id, key, v, base)
		for deadline := time.Now().Add(waitTimeout); resp.GetUnknown() && time.Now().Before(deadline); {
			resp, at = c.publish(i%entryCount, id, key, v, base)
		}
		mu.Lock()
		defer mu.Unlock()
		if resp.GetAccepted() {
			winners++
			value, accepted = v, at
			return
		}
		assert.Check(c.t, strings.HasPrefix(resp.GetMessage(), "not published"), "%v", resp)
	})
	assert.Check(c.t, winners == 1, "%d of 6 concurrent changes with the same base were accepted", winners)
	return value, accepted
}

// TestPublish guards against concurrent changes with the same base of which more than one is accepted, accepted changes
// that are not in force, refused ones that are, and versions that decrease (promise 9).
func TestPublish(t *testing.T) {
	c := newCluster(t)
	stop := c.watchVersions()
	const key, allEntries = "team.proof.weight", entryCount

	t.Log("six operators publish concurrently with the same base")
	var base uint64
	for range 3 {
		value, at := c.racePublish(key, base)
		c.checkInForce(at, key, value, 0, 1, 2)
		cfg, err := c.getConfig(0)
		assert.NilError(t, err)
		_, base = valueOf(cfg, key)
	}

	t.Log("the answers of all appends are lost")
	c.setLogFaults(platform.Faults{Lose: 100})
	before, err := c.getConfig(0)
	assert.NilError(t, err)
	resp, at := c.publish(1, "lost", key, "77", base)
	assert.Check(t, resp.GetAccepted(), "%v", resp)
	c.checkInForce(at, key, "77", 0, 1, 2)
	assert.Equal(t, resp.GetVersion(), before.GetVersion()+1, "the change took effect more than once")
	base = resp.GetVersion()

	t.Log("operators publish concurrently while half of the answers are lost")
	c.setLogFaults(platform.Faults{Lose: 50})
	value, at := c.racePublish(key, base)
	c.checkInForce(at, key, value, 0, 1, 2)
	cfg, err := c.getConfig(0)
	assert.NilError(t, err)
	_, base = valueOf(cfg, key)

	t.Log("the log service is slow")
	c.setLogFaults(platform.Faults{Slow: 700})
	resp, at = c.publish(2, "slow", key, "88", base)
	assert.Check(t, resp.GetAccepted(), "%v", resp)
	c.checkInForce(at, key, "88", 0, 1, 2)
	base = resp.GetVersion()

	t.Log("the log service is down and an entry is restarted meanwhile")
	c.setLogFaults(platform.Faults{Down: true})
	for i := range allEntries {
		resp, _ = c.publish(i, fmt.Sprintf("down-%d", i), key, "99", base)
		assert.Check(t, !resp.GetAccepted() && !resp.GetUnknown(), "%v", resp)
	}
	c.entries[2].kill()
	c.entries[2].start(t)
	c.eventually(func() error {
		cfg, err := c.getConfig(2)
		if got, _ := valueOf(cfg, key); err == nil && got != "88" {
			return errors.New("the restarted entry has not fetched the configuration from a peer")
		}
		return err
	})
	c.waitReady()
	c.waitJobsComplete(&ledger{})
	c.setLogFaults(platform.Faults{})
	resp, at = c.publish(2, "after", key, "90", base)
	assert.Check(t, resp.GetAccepted(), "%v", resp)
	c.checkInForce(at, key, "90", 0, 1, 2)
	for i := range allEntries {
		h, err := c.operatorClient(i).ConfigHistory(context.Background(), connect.NewRequest(&dispatchv1.ConfigHistoryRequest{}))
		assert.NilError(t, err)
		for _, e := range h.Msg.GetEntries() {
			assert.Check(t, e.GetValue() != "99", "a refused change is in the history of entry %d", i)
		}
	}
	checkNoFindings(t, stop())
}

// TestStoppedProcessHasItsOwnGroup guards against a paused program that runs on before the test resumes it: the kernel
// sends SIGCONT to it if it shares the process group of the tests and that group becomes orphaned.
func TestStoppedProcessHasItsOwnGroup(t *testing.T) {
	c := newCluster(t)
	group, err := syscall.Getpgid(c.platform.cmd.Process.Pid)
	assert.NilError(t, err)
	assert.Equal(t, group, c.platform.cmd.Process.Pid)
}

// TestPublishUnanswered guards against a change reported as accepted while the log service does not answer, and against
// a change that takes effect twice when it is requested again with the same id (promise 9).
func TestPublishUnanswered(t *testing.T) {
	c := newCluster(t)
	stop := c.watchVersions()
	const key = "team.proof.weight"
	c.platform.pause()
	resp, _ := c.publish(0, "hung", key, "5", 0)
	assert.Check(t, !resp.GetAccepted(), "%v", resp)
	c.platform.resume()
	var at time.Time
	c.eventually(func() error {
		resp, at = c.publish(1, "hung", key, "5", 0)
		if !resp.GetAccepted() {
			return fmt.Errorf("%v", resp)
		}
		return nil
	})
	assert.Equal(t, resp.GetVersion(), uint64(1))
	c.checkInForce(at, key, "5", 0, 1, 2)

	t.Log("an entry cut off from the majority cannot publish, and an accepted change reaches it once the links are restored")
	for i := 1; i < entryCount; i++ {
		c.relays[i].cut(entryName(0), bothWays)
	}
	c.eventually(func() error {
		if resp, _ = c.publish(0, "", key, "6", 1); resp.GetUnknown() || resp.GetAccepted() {
			return fmt.Errorf("the change of an entry without a majority was accepted or has an unknown outcome: %v", resp)
		}
		return nil
	})
	for i := 1; i < entryCount; i++ {
		c.relays[i].restore(entryName(0))
	}
	c.waitReady()
	cfg, err := c.getConfig(0)
	assert.NilError(t, err)
	_, base := valueOf(cfg, key)
	resp, at = c.publish(0, "last", key, "7", base)
	assert.Check(t, resp.GetAccepted(), "%v", resp)
	c.checkInForce(at, key, "7", 0, 1, 2)
	checkNoFindings(t, stop())
}
