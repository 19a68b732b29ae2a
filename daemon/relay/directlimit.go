package relay

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

const (
	// directRetryInterval separates a host's calls to the platform while relays answer that the
	// platform does not answer them, and it does not answer the host either. The platform may
	// serve the host and not the relays, but most often it is unavailable to all.
	directRetryInterval = 3 * time.Second
	// maxFirstDirectDelay bounds the delay before the first of these calls. The delay differs
	// by host, so that an outage causes no burst. It is short because the platform may answer
	// the host, which then must have a change in time; see settings.Role.RelayedWatchTimeout.
	maxFirstDirectDelay = 150 * time.Millisecond
)

// directLimiter limits the rate of a host's direct calls to the platform.
type directLimiter struct {
	firstDelay time.Duration
	nextAt     time.Time // zero while relays answer
}

func newDirectLimiter(hostHash uint32) directLimiter {
	const delays = 256
	return directLimiter{firstDelay: maxFirstDirectDelay * time.Duration(hostHash%delays) / delays}
}

// allows reports whether the host may call the platform after relays failed with err. It may
// call at once if no relay answered, or if always is true. It waits for the delay before the first
// call: the caller's own retry delay would come on top.
func (l *directLimiter) allows(ctx context.Context, err error, always bool) bool {
	relayAnswered := failure.Is(err, failure.PlatformUnavailable) || failure.Is(err, failure.ListPending)
	if always || !relayAnswered {
		return true
	}
	if l.nextAt.IsZero() {
		l.nextAt = time.Now().Add(l.firstDelay)
		wait.For(ctx, l.firstDelay)
	}
	return !time.Now().Before(l.nextAt)
}

// recordResult records whether the platform answered a call.
func (l *directLimiter) recordResult(answered bool) {
	l.nextAt = time.Now()
	if !answered {
		l.nextAt = l.nextAt.Add(directRetryInterval)
	}
}

// limitWait limits the wait for a relay to the time until the next call to the platform.
func (l *directLimiter) limitWait(wait time.Duration) time.Duration {
	if l.nextAt.IsZero() {
		return wait
	}
	return max(0, min(wait, time.Until(l.nextAt)))
}

// recordRelayAnswer records that a relay answered.
func (l *directLimiter) recordRelayAnswer() { l.nextAt = time.Time{} }
