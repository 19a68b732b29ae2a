package entry

import "context"

// connectCheck is one attempt to connect to a target, which everybody who asks at that time shares.
type connectCheck struct {
	// done is closed when accepted is known.
	done     chan struct{}
	accepted bool
}

// acceptsConnections reports whether a target accepts a new connection now. If it does not, probes of
// it are started.
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

// connect reports whether a connection to the address succeeds within probeTimeout.
func (m *reachabilityMonitor) connect(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := m.host.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
