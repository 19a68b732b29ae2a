package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ledger"
)

// A stream may continue only at targets of the software version that made its first event: what two
// versions generate does not fit together. Targets do not check this. The version of a program's
// stream is stored with its budget before the caller receives an event, so that any host can continue
// the stream.

// versionWriteTimeout bounds how long the first event of a stream waits until its software version is
// durable. It covers the replacement of a history host as writer.
const versionWriteTimeout = 300 * time.Millisecond

// continuesStream reports whether the caller takes up a stream that another attempt began.
func (x *exchange) continuesStream() bool { return x.route.Resumable && x.call.LastEventID != "" }

// bindNewStream binds a new stream to the software version of its service's targets if they have only
// one: its reservation then makes the version durable at no cost. Otherwise the first event
// determines the version, see bindToTarget.
func (x *exchange) bindNewStream() {
	if !x.route.Resumable || x.continuesStream() {
		return
	}
	if versions := x.listedVersions(); len(versions) == 1 {
		x.softwareVersion = versions[0]
	}
}

// bindTakenUpStream binds a stream that the caller takes up to the software version of the attempt
// that began it. It fails if the version is not known and several are listed.
func (x *exchange) bindTakenUpStream(usage *ledger.Usage) error {
	if !x.continuesStream() {
		return nil
	}
	if x.call.Resumes != "" {
		x.softwareVersion = usage.SoftwareVersion(x.call.Resumes)
	} else {
		x.softwareVersion = usage.OnlySoftwareVersion()
	}
	versions := x.listedVersions()
	switch {
	case x.softwareVersion != "":
		return nil
	case len(versions) > 1:
		return failure.Retry(failure.NoTarget, defaultRetryDelay, "software version of the stream of attempt %q is not known, service %s has %d", x.call.Resumes, x.service, len(versions))
	case len(versions) == 1:
		x.softwareVersion = versions[0]
	}
	return nil
}

// bindToTarget binds a stream to the software version of the target that made its first event, and
// makes the version durable.
func (x *exchange) bindToTarget(ctx context.Context, t balance.TargetInfo) {
	if !x.route.Resumable || x.softwareVersion != "" || t.SoftwareVersion == "" {
		return
	}
	x.softwareVersion = t.SoftwareVersion
	if x.turn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, versionWriteTimeout)
	defer cancel()
	if err := x.host.History.Write(ctx, x.budgetProgram(), x.retention(), x.turn.reservationRecord()); err != nil {
		x.host.Meter.Count("streams", "version_not_stored")
		x.host.Log.Warn("software version of a stream not stored", "request", x.call.ID, "software", x.softwareVersion, "error", err.Error())
	}
}

// listedVersions returns the software versions of the targets of the request's service.
func (x *exchange) listedVersions() []string {
	x.host.mu.Lock()
	defer x.host.mu.Unlock()
	return x.host.registry.SoftwareVersions(x.service)
}
