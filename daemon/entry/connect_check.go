package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// connectCheck is one attempt to connect to a target, which everybody who asks at that time shares.
type connectCheck struct {
	// done is closed when accepted is known.
	done     chan struct{}
	accepted bool
}

// acceptsConnections reports whether a target accepts a new connection now, or at least refuses none as
// an address does without a process. If it does not, probes of it are started.
func (m *reachabilityMonitor) acceptsConnections(target, address string) bool {
	m.mu.Lock()
	if m.targetLocked(target).unreachable {
		m.mu.Unlock()
		return false
	}
	check := m.connectChecks[target]
	if check != nil {
		m.mu.Unlock()
		<-check.done
		return check.accepted
	}
	check = &connectCheck{done: make(chan struct{})}
	m.connectChecks[target] = check
	m.mu.Unlock()
	check.accepted = m.connect(address)
	m.mu.Lock()
	delete(m.connectChecks, target)
	m.mu.Unlock()
	close(check.done)
	if !check.accepted {
		m.startProbing(target, address)
	}
	return check.accepted
}

// connect reports whether a process at the address reacts to a connection within probeTimeout. One that
// has too many connections may reset a new one.
func (m *reachabilityMonitor) connect(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := m.host.Dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return true
	}
	var netErr net.Error
	silent := ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout()
	return !silent && !errors.Is(err, syscall.ECONNREFUSED)
}
