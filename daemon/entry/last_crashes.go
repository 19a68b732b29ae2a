package entry

import (
	"sync"
	"time"
)

// recentCrashWindow is how long a crash may have been followed by attempts of the request that caused
// it.
const recentCrashWindow = 30 * time.Second

// lastCrashes holds when a target of each service last crashed, as far as this host knows. The zero
// value is ready to use.
type lastCrashes struct {
	mu sync.Mutex
	at map[string]time.Time // by service
}

// record records that a target of the service has crashed now.
func (l *lastCrashes) record(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[string]time.Time{}
	}
	l.at[service] = time.Now()
}

// isRecent reports whether a target of the service has crashed within recentCrashWindow.
func (l *lastCrashes) isRecent(service string) bool { return l.isWithin(service, recentCrashWindow) }

// isWithin reports whether a target of the service has crashed within window.
func (l *lastCrashes) isWithin(service string, window time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, known := l.at[service]
	return known && time.Since(at) <= window
}
