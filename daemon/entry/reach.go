package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

const (
	// silenceBeforeProbe is how long a target may say nothing on any connection
	// before a new connection to it is tried. A first token on a busy engine takes
	// some 300 ms; other requests at it are heard meanwhile.
	silenceBeforeProbe = 300 * time.Millisecond
	// centreSilence is the same for all targets of a data centre together, of which
	// some event comes every few milliseconds under load.
	centreSilence = 200 * time.Millisecond
	// checkEvery is how often a waiting request looks for silence.
	checkEvery = 150 * time.Millisecond
	// probeTimeout is enough for a round trip between data centres (some ms) and a
	// busy accept queue, and short against the second that a lost SYN costs.
	probeTimeout = 250 * time.Millisecond
	// probePause is between two probes of a target that cannot be reached.
	probePause = 250 * time.Millisecond
)

// reach watches whether targets can be reached at all. A partition shows in none
// of the open connections for seconds; a new connection shows it at once.
type reach struct {
	host *Host
	mu   sync.Mutex
	by   map[string]*line // by target
	// centres is when any target of a data centre was last heard.
	centres map[string]time.Time
	// suspicions are by data centre.
	suspicions map[string]*suspicion
	// done is closed when the host stops.
	done chan struct{}
}

// line is the way to one target.
type line struct {
	dataCentre string

	heard   time.Time
	probing bool
	// broken is true and cut closed while the target cannot be reached; cut is
	// replaced when it can be again.
	broken bool
	cut    chan struct{}
}

func newReach(h *Host) *reach {
	return &reach{host: h, by: map[string]*line{}, centres: map[string]time.Time{}, suspicions: map[string]*suspicion{}, done: make(chan struct{})}
}

// of returns the line to a target; the caller holds mu.
func (r *reach) of(target string) *line {
	l := r.by[target]
	if l == nil {
		l = &line{heard: time.Now(), cut: make(chan struct{})}
		r.by[target] = l
	}
	return l
}

// heard notes bytes from a target.
func (r *reach) heard(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.of(target)
	l.heard = time.Now()
	r.centres[l.dataCentre] = l.heard
}

// heardFrom reports whether any target of a data centre was heard within d.
func (r *reach) heardFrom(dataCentre string, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ever := r.centres[dataCentre]
	return ever && time.Since(last) <= d
}

// heardFrom reports whether anything of a data centre was heard within d: a target or a
// history host, of which each turn asks some. Where hosts are many, each hears the targets
// of another data centre too seldom to know, and would open a connection for
// each request that must not be repeated.
func (h *Host) heardFrom(dataCentre string, d time.Duration) bool {
	return h.reach.heardFrom(dataCentre, d) || h.History != nil && h.History.AnsweredWithin(dataCentre, d)
}

// forget drops a target that is gone.
func (r *reach) forget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.by, target)
}

// renewed drops what is known of a target that has started again under its id, and ends
// the requests that it had before: it knows nothing of them.
func (r *reach) renewed(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.by[target]; l != nil && !l.broken {
		close(l.cut)
	}
	delete(r.by, target)
}

// guard returns a context that ends with errUnreachable when the target cannot be
// reached any more, and probes it when it has been silent.
func (r *reach) guard(ctx context.Context, t balance.TargetInfo) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	l := r.of(t.ID)
	l.dataCentre = t.DataCentre
	cut := l.cut
	r.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		tick := time.NewTicker(checkEvery)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-cut:
				cancel(errUnreachable)
				return
			case <-tick.C:
				r.check(t.ID, t.Address)
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// errUnreachable is the cause of a context that guard ended.
var errUnreachable = failure.New(failure.TargetFailed, "the target cannot be reached")

// check starts a probe of a target that was silent for too long.
func (r *reach) check(target, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.of(target)
	silent := time.Since(l.heard)
	if l.probing || silent < centreSilence || silent < silenceBeforeProbe && time.Since(r.centres[l.dataCentre]) < centreSilence {
		return
	}
	l.probing = true
	go r.probe(target, address)
}

// lost starts probes of a target to which no connection could be made.
func (r *reach) lost(target, address string) {
	r.mu.Lock()
	l := r.of(target)
	start := !l.probing
	l.probing = true
	r.mu.Unlock()
	if start {
		go r.probe(target, address)
	}
}

// probe dials the target until it answers or is gone from the list.
func (r *reach) probe(target, address string) {
	for tries := 0; ; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		conn, err := r.host.Dialer.DialContext(ctx, "tcp", address)
		cancel()
		if err == nil {
			_ = conn.Close()
		}
		if tries == 0 {
			r.judge(target, err == nil)
		}
		if err == nil {
			r.reached(target, tries)
			return
		}
		if r.missed(target, err) {
			r.suspect(target)
		}
		if !r.host.setReachable(target, false) {
			r.forget(target)
			return
		}
		select {
		case <-time.After(probePause):
		case <-r.done:
			return
		}
	}
}

// missed notes a probe that did not get through; the first, for which it returns
// true, ends the requests at the target.
func (r *reach) missed(target string, err error) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.of(target)
	if l.broken {
		return false
	}
	l.broken = true
	close(l.cut)
	r.host.Meter.Count("targets", "unreachable")
	r.host.Log.Warn("target unreachable", "target", target, "error", err.Error())
	return true
}

// reached notes a probe that got through.
func (r *reach) reached(target string, tries int) {
	r.host.setReachable(target, true)
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.of(target)
	l.heard, l.probing = time.Now(), false
	if l.broken {
		l.broken, l.cut = false, make(chan struct{})
		r.host.Log.Info("target reachable again", "target", target, "probes", tries+1)
	}
}

// setReachable tells the registry; it reports whether the target is still listed.
func (h *Host) setReachable(target string, reachable bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.registry.Target(target)
	if ok {
		t.Unreachable = !reachable
	}
	return ok
}
