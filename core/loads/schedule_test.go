package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// schedule simulates hosts and a board over a network that loses, delays, duplicates and
// reorders messages, while hosts, the board and targets restart.
type schedule struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	board *Board
	hosts []*host
	// lastHostID and lastBoardID are the last IDs given out, one for each start.
	lastHostID  uint64
	lastBoardID uint64
	startedAtMs [4]int64
	// lastReportAt holds when the board last received a report, by host ID.
	lastReportAt map[uint64]time.Duration
	// delayed holds deliveries of messages that may still arrive.
	delayed []func()
}

func (s *schedule) key(target int) Key { return KeyOf(fmt.Sprint(target), s.startedAtMs[target]) }

func (s *schedule) startHost() *host {
	s.lastHostID++
	return newHost(s.lastHostID)
}

// step performs one random action.
func (s *schedule) step() {
	s.now += time.Duration(s.rng.IntN(30)) * ms
	i := s.rng.IntN(len(s.hosts))
	h := s.hosts[i]
	switch draw := s.rng.IntN(100); {
	case draw < 40:
		o := h.observe(s.key(s.rng.IntN(len(s.startedAtMs))), s.rng.IntN(5))
		o.Failed += uint32(s.rng.IntN(2))
	case draw < 90:
		s.send(h)
	case draw < 94 && len(s.delayed) > 0:
		s.delayed[s.rng.IntN(len(s.delayed))]()
	case draw < 96:
		s.hosts[i] = s.startHost() // the host restarts
	case draw < 97:
		s.lastBoardID++
		s.board = NewBoard(s.lastBoardID)
	case draw < 98:
		s.restartTarget(s.rng.IntN(len(s.startedAtMs)))
	}
	s.check()
}

// restartTarget starts a new incarnation of a target: hosts drop the state of the previous
// one.
func (s *schedule) restartTarget(target int) {
	previous := s.key(target)
	s.startedAtMs[target]++
	for _, h := range s.hosts {
		delete(h.observed, previous)
		delete(h.updates, previous)
	}
}

// send sends a report. The report and its reply may be lost, duplicated or delayed.
func (s *schedule) send(h *host) {
	report := h.report(s.now)
	deliver := func() {
		s.lastReportAt[report.ReporterID] = s.now
		reply := s.board.Exchange(report, s.now)
		if s.rng.IntN(4) > 0 {
			h.handleReply(reply, s.now)
		}
		s.delayed = append(s.delayed, func() { h.handleReply(reply, s.now) })
	}
	if s.rng.IntN(4) > 0 {
		deliver()
	}
	s.delayed = append(s.delayed, deliver)
	s.delayed = s.delayed[max(0, len(s.delayed)-40):]
}

// check requires that the board counts no reporter that is silent for longer than
// ReporterTimeout, and that its sums equal the contributions of its reporters.
func (s *schedule) check() {
	s.board.expire(s.now)
	sums := map[Key]int{}
	for id, r := range s.board.reporters {
		require.LessOrEqual(s.t, s.now-s.lastReportAt[id], ReporterTimeout)
		for key, c := range r.contributions {
			sums[key] += c.inFlight
		}
	}
	for key, target := range s.board.targets {
		require.Equal(s.t, sums[key], target.inFlight)
		require.GreaterOrEqual(s.t, target.inFlight, 0)
	}
}

// settle runs exchanges without loss, and requires that all hosts know the actual counts.
func (s *schedule) settle() {
	for end := s.now + 2*ReporterTimeout; s.now < end; s.now += 50 * ms {
		for _, h := range s.hosts {
			h.exchange(s.board, s.now)
		}
	}
	for _, h := range s.hosts {
		for target := range s.startedAtMs {
			key := s.key(target)
			want := 0
			for _, other := range s.hosts {
				if o := other.observed[key]; o != nil && other != h {
					want += o.InFlight
				}
			}
			require.Equal(s.t, want, h.updates[key].OthersInFlight, "target %d", target)
		}
	}
}

// After any loss, delay, reordering and restart, all hosts learn the actual counts once
// messages are delivered again.
func TestCountsConvergeAfterAnySchedule(t *testing.T) {
	for seed := range uint64(500) {
		s := &schedule{t: t, rng: rand.New(rand.NewPCG(seed, 3)), board: NewBoard(1 << 40), lastBoardID: 1 << 40, lastReportAt: map[uint64]time.Duration{}}
		for range 2 + s.rng.IntN(4) {
			s.hosts = append(s.hosts, s.startHost())
		}
		for range 200 {
			s.step()
		}
		s.settle()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
