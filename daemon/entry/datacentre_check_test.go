package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
)

// partialDialer connects to all addresses but the unreachable ones, where dials time out. It
// counts dials.
type partialDialer struct {
	mu            sync.Mutex
	isUnreachable func(address string) bool
	dials         int
}

func (d *partialDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	unreachable := d.isUnreachable(address)
	d.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, _ := net.Pipe()
	return near, nil
}

func (d *partialDialer) restoreAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isUnreachable = func(string) bool { return false }
}

// newHostWithTargets returns a host with n targets in one data centre. The address of target
// "t<i>" is "<i>".
func newHostWithTargets(n int, isUnreachable func(address string) bool) (*Host, *partialDialer) {
	d := &partialDialer{isUnreachable: isUnreachable}
	h := New(Options{Dialer: d, DataCentre: "dc1", Log: discardLog()})
	for i := range n {
		h.registry.SetTarget(balance.TargetInfo{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint(i), DataCentre: "dc1"})
	}
	return h, d
}

// unreachableTargets returns the number of targets marked unreachable.
func (h *Host) unreachableTargets() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.registry.State(h.now()) {
		if s.UnusableReason == "unreachable" {
			n++
		}
	}
	return n
}

// One failed target must cause probes of some other targets of its data centre, not of all
// that the host lists.
func TestFailedTargetCausesFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, d := newHostWithTargets(400, func(address string) bool { return address == "7" })
		h.reachability.startProbing("t7", "7")
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 1, h.unreachableTargets())
		require.LessOrEqual(t, d.dials, maxFirstProbes+3)
		d.restoreAll()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Zero(t, h.unreachableTargets())
	})
}

// When a data centre is partitioned, probes must detect all of its targets within a second,
// however many there are.
func TestAllTargetsOfUnreachableDataCentreAreDetected(t *testing.T) {
	for _, n := range []int{1, 12, maxFirstProbes + 1, 400} {
		synctest.Test(t, func(t *testing.T) {
			h, d := newHostWithTargets(n, func(string) bool { return true })
			h.reachability.startProbing("t0", "0")
			time.Sleep(3*probeTimeout + 10*time.Millisecond)
			synctest.Wait()
			require.Equal(t, n, h.unreachableTargets())
			d.restoreAll()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			require.Zero(t, h.unreachableTargets())
		})
	}
}

// Several failed targets among many, detected one after the other, must start only one data
// centre check.
func TestSeveralFailedTargetsShareOneDataCentreCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, d := newHostWithTargets(400, func(address string) bool { return len(address) == 1 }) // ten targets
		for i := range 10 {
			h.reachability.startProbing(fmt.Sprint("t", i), fmt.Sprint(i))
		}
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 10, h.unreachableTargets())
		require.LessOrEqual(t, d.dials, maxFirstProbes+30)
		d.restoreAll()
		time.Sleep(2 * time.Second)
	})
}
