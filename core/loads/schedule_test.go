package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// schedule plays hosts before a board over a network that loses, delays, repeats and reorders
// messages, where hosts and the board die, and targets are born again.
type schedule struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	board *Board
	hosts []*host
	// ids are of the hosts, drawn for each start.
	ids    uint64
	boards uint64
	born   [4]int64
	// heard is when each start of a host was last heard by the board.
	heard map[uint64]time.Duration
	late  []func()
}

func (s *schedule) key(target int) Key { return KeyOf(fmt.Sprint(target), s.born[target]) }

func (s *schedule) start() *host {
	s.ids++
	return newHost(s.ids)
}

// step does one random thing.
func (s *schedule) step() {
	s.now += time.Duration(s.rng.IntN(30)) * ms
	i := s.rng.IntN(len(s.hosts))
	h := s.hosts[i]
	switch draw := s.rng.IntN(100); {
	case draw < 40:
		o := h.see(s.key(s.rng.IntN(len(s.born))), s.rng.IntN(5))
		o.Failed += uint32(s.rng.IntN(2))
	case draw < 90:
		s.send(h)
	case draw < 94 && len(s.late) > 0:
		s.late[s.rng.IntN(len(s.late))]()
	case draw < 96:
		s.hosts[i] = s.start() // died, and another start takes its place
	case draw < 97:
		s.boards++
		s.board = NewBoard(s.boards)
	case draw < 98:
		s.bear(s.rng.IntN(len(s.born)))
	}
	s.check()
}

// bear starts a target again: hosts drop what they know of the start before.
func (s *schedule) bear(target int) {
	old := s.key(target)
	s.born[target]++
	for _, h := range s.hosts {
		delete(h.own, old)
		delete(h.told, old)
	}
}

// send sends a report, which may be lost, come twice or late, as may its reply.
func (s *schedule) send(h *host) {
	m := h.report(s.now)
	deliver := func() {
		s.heard[m.ReporterID] = s.now
		reply := s.board.Exchange(m, s.now)
		if s.rng.IntN(4) > 0 {
			h.take(reply, s.now)
		}
		s.late = append(s.late, func() { h.take(reply, s.now) })
	}
	if s.rng.IntN(4) > 0 {
		deliver()
	}
	s.late = append(s.late, deliver)
	s.late = s.late[max(0, len(s.late)-40):]
}

// check: the board counts no reporter that is silent for longer than Expiry, and its sums are
// those of its reporters.
func (s *schedule) check() {
	s.board.expire(s.now)
	sums := map[Key]int{}
	for id, r := range s.board.reporters {
		require.LessOrEqual(s.t, s.now-s.heard[id], ReporterTimeout)
		for key, x := range r.shares {
			sums[key] += x.inFlight
		}
	}
	for key, e := range s.board.entries {
		require.Equal(s.t, sums[key], e.inFlight)
		require.GreaterOrEqual(s.t, e.inFlight, 0)
	}
}

// settle lets time pass without loss, and checks that all are told what is.
func (s *schedule) settle() {
	for end := s.now + 2*ReporterTimeout; s.now < end; s.now += 50 * ms {
		for _, h := range s.hosts {
			h.exchange(s.board, s.now)
		}
	}
	for _, h := range s.hosts {
		for target := range s.born {
			key := s.key(target)
			want := 0
			for _, x := range s.hosts {
				if o := x.own[key]; o != nil && x != h {
					want += o.InFlight
				}
			}
			require.Equal(s.t, want, h.told[key].OthersInFlight, "target %d", target)
		}
	}
}

// Whatever the network and deaths do, hosts are told the truth once it is calm.
func TestAnyScheduleConverges(t *testing.T) {
	for seed := range uint64(500) {
		s := &schedule{t: t, rng: rand.New(rand.NewPCG(seed, 3)), board: NewBoard(1 << 40), boards: 1 << 40, heard: map[uint64]time.Duration{}}
		for range 2 + s.rng.IntN(4) {
			s.hosts = append(s.hosts, s.start())
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
