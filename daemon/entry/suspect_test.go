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

// someDialer connects but to the addresses that are dark, and counts.
type someDialer struct {
	mu    sync.Mutex
	dark  func(address string) bool
	dials int
}

func (d *someDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	dark := d.dark(address)
	d.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, _ := net.Pipe()
	return near, nil
}

func (d *someDialer) mend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dark = func(string) bool { return false }
}

// manyTargets is a host before so many targets of one data centre, whose addresses are numbers.
func manyTargets(n int, dark func(address string) bool) (*Host, *someDialer) {
	d := &someDialer{dark: dark}
	h := New(Options{Dialer: d, DataCentre: "dc1", Log: discardLog()})
	for i := range n {
		h.registry.SetTarget(balance.TargetInfo{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint(i), DataCentre: "dc1"})
	}
	return h, d
}

func (h *Host) unreachable() int {
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

// One target that has failed makes a host probe some beside it, not all that it holds.
func TestAFailedTargetCostsAFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, d := manyTargets(400, func(address string) bool { return address == "7" })
		h.reach.lost("t7", "7")
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 1, h.unreachable())
		require.LessOrEqual(t, d.dials, suspectMost+3)
		d.mend()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Zero(t, h.unreachable())
	})
}

// All targets of a data centre that is cut off are found by probes within a second, however
// many there are.
func TestACutDataCentreIsFoundWhole(t *testing.T) {
	for _, n := range []int{1, 12, suspectMost + 1, 400} {
		synctest.Test(t, func(t *testing.T) {
			h, d := manyTargets(n, func(string) bool { return true })
			h.reach.lost("t0", "0")
			time.Sleep(3*probeTimeout + 10*time.Millisecond)
			synctest.Wait()
			require.Equal(t, n, h.unreachable())
			d.mend()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			require.Zero(t, h.unreachable())
		})
	}
}

// Failed targets among many that are found one after the other begin one suspicion.
func TestSeveralFailedTargetsCostAFewProbesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, d := manyTargets(400, func(address string) bool { return len(address) == 1 }) // ten of them
		for i := range 10 {
			h.reach.lost(fmt.Sprint("t", i), fmt.Sprint(i))
		}
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 10, h.unreachable())
		require.LessOrEqual(t, d.dials, suspectMost+30)
		d.mend()
		time.Sleep(2 * time.Second)
	})
}
