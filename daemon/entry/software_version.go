package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
)

// A stream may continue only at targets of the software version that made its first event: what two
// versions generate does not fit together. Targets do not check this. Every attempt that brings events
// stores the version at the history hosts before its caller receives the first one, so that any host can
// continue the stream.

const (
	// versionWriteTimeout bounds how long the first event of a stream waits until its software version is
	// durable. It covers the replacement of a history host as writer.
	versionWriteTimeout = 300 * time.Millisecond
	// versionReadTimeout bounds the read of the version of a stream outside of programs.
	versionReadTimeout = 300 * time.Millisecond
)

// continuesStream reports whether the caller takes up a stream that another attempt began.
func (x *exchange) continuesStream() bool { return x.route.Resumable && x.call.LastEventID != "" }

// bindNewStream binds a new stream to the software version of its service's targets if they have only
// one. Otherwise the first event determines the version, see awaitVersion.
func (x *exchange) bindNewStream() {
	if !x.route.Resumable || x.continuesStream() {
		return
	}
	versions := x.listedVersions()
	if len(versions) == 1 {
		x.softwareVersion = versions[0]
	}
	x.versionPending = len(versions) > 1
}

// reservedVersion returns the software version that the reservation of a turn names.
func (x *exchange) reservedVersion() string {
	if x.softwareVersion == "" && x.versionPending {
		return ledger.PendingVersion
	}
	return x.softwareVersion
}

// bindStreamOutsideProgram binds a stream without a program. Its version is stored under the name of the
// request, and is written while a target works on the first event.
func (x *exchange) bindStreamOutsideProgram(ctx context.Context) error {
	x.bindNewStream()
	if x.continuesStream() {
		if err := x.bindTakenUpStream(ctx, x.readStreamUsage(ctx)); err != nil {
			return err
		}
	}
	x.startVersionWrite()
	return nil
}

// readStreamUsage reads what earlier attempts of a stream outside of programs have stored. It is empty if the
// history hosts do not answer.
func (x *exchange) readStreamUsage(ctx context.Context) *ledger.Usage {
	if !x.host.History.IsServable(x.recordProgram()) {
		return &ledger.Usage{}
	}
	ctx, cancel := context.WithTimeout(ctx, versionReadTimeout)
	defer cancel()
	history, err := x.host.History.ReadQuery(ctx, quorum.Query{Program: x.recordProgram()})
	if err != nil {
		x.host.Log.Warn("software version of a stream not read", "request", x.call.ID, "resumes", x.call.Resumes, "error", err.Error())
		return &ledger.Usage{}
	}
	return &history.Usage
}

// bindTakenUpStream binds a stream that the caller takes up to the software version of the attempt
// that began it. usage is what the attempts have stored. It fails if the version is not known and may be
// another one than that of the listed targets.
func (x *exchange) bindTakenUpStream(ctx context.Context, usage *ledger.Usage) error {
	if !x.continuesStream() {
		return nil
	}
	if x.softwareVersion = x.storedVersion(usage); x.softwareVersion != "" {
		return nil
	}
	if x.mayHaveBegun(usage) && !(x.host.hasLoneVersion(x.service) && x.knowsTargetsAtArrival(ctx) && x.host.hasLoneVersion(x.service)) {
		return x.unknownVersionFailure()
	}
	versions := x.listedVersions()
	if len(versions) != 1 {
		return x.unknownVersionFailure()
	}
	x.softwareVersion = versions[0]
	return nil
}

// unknownVersionFailure returns the failure of a stream whose software version is not known, nil if targets have none.
func (x *exchange) unknownVersionFailure() error {
	if x.host.hasTargetsWithoutVersion(x.service) {
		return nil
	}
	x.host.Meter.Count("streams", "version_unknown")
	return failure.Retry(failure.NoTarget, defaultRetryDelay, "software version of the stream of attempt %q is not known, service %s has %v", x.call.Resumes, x.service, x.listedVersions())
}

// storedVersion returns the software version of the stream that the caller takes up; empty if usage does not
// tell.
func (x *exchange) storedVersion(usage *ledger.Usage) string {
	if x.call.Resumes != "" {
		version := usage.SoftwareVersion(x.call.Resumes)
		if version != "" || !usage.Contains(x.call.Resumes) {
			return version
		}
	}
	version, _ := usage.OnlySoftwareVersion()
	return version
}

// mayHaveBegun reports whether an attempt whose software version is not known may have begun the stream. Every
// turn is stored before it is sent; other streams are not.
func (x *exchange) mayHaveBegun(usage *ledger.Usage) bool {
	if !x.isTurn() {
		return true
	}
	if x.call.Resumes != "" {
		return usage.Contains(x.call.Resumes)
	}
	_, certain := usage.OnlySoftwareVersion()
	return !certain
}

// awaitVersion binds a stream to the software version of the target that made its first event, and waits up to
// versionWriteTimeout until the version is durable. After that the event is passed on: the write goes on, and
// a caller who takes the stream up before it is done is refused.
func (x *exchange) awaitVersion(ctx context.Context, t balance.TargetInfo) {
	if x.softwareVersion == "" && x.route.Resumable && t.SoftwareVersion != "" {
		x.softwareVersion = t.SoftwareVersion
		x.startVersionWrite()
	}
	if x.versionStored == nil {
		return
	}
	timer := time.NewTimer(versionWriteTimeout)
	defer timer.Stop()
	select {
	case <-x.versionStored:
	case <-ctx.Done():
	case <-timer.C:
		x.host.Meter.Count("streams", "version_not_stored")
		x.host.Log.Warn("software version of a stream not stored in time", "request", x.call.ID, "software", x.softwareVersion)
	}
	x.versionStored = nil
}

// startVersionWrite starts to store the software version of the stream, if it is known. It goes on while the
// caller may receive events.
func (x *exchange) startVersionWrite() {
	h := x.host
	if x.softwareVersion == "" || !h.History.Ready() {
		return
	}
	program, retention, record := x.recordProgram(), x.retention(), x.versionRecord()
	timeout := max(settleTimeout, time.Until(x.deadline))
	id, stored := x.call.ID, make(chan struct{})
	x.versionStored = stored
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if err := h.History.Write(ctx, program, retention, record); err != nil {
			h.Log.Warn("software version of a stream not stored", "request", id, "error", err.Error())
			return
		}
		close(stored)
	})
}

// versionRecord returns the record of the stream's software version. Outside of programs it reserves no tokens.
func (x *exchange) versionRecord() *historypb.Record {
	if x.turn != nil {
		return x.turn.reservationRecord()
	}
	return &historypb.Record{Change: &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: x.call.ID, SoftwareVersion: x.softwareVersion}}}
}

// listedVersions returns the software versions of the targets of the request's service.
func (x *exchange) listedVersions() []string {
	x.host.mu.Lock()
	defer x.host.mu.Unlock()
	return x.host.registry.SoftwareVersions(x.service)
}

// hasLoneVersion reports whether targets of a service have had only one software version for longer than any
// stream lasts, so that every stream began there, as far as this host has heard. A host that holds a subset of the
// targets does not know.
func (h *Host) hasLoneVersion(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.versions.Lone(service, maxRequestTimeout, h.now())
	return ok && h.registry.HoldsAll(service)
}

// hasTargetsWithoutVersion reports whether a service has targets, and none of them has a software version.
func (h *Host) hasTargetsWithoutVersion(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.HasTargets(service) && len(h.registry.SoftwareVersions(service)) == 0
}

// observeVersions records the software versions that the targets of a service have now. The caller holds mu.
func (h *Host) observeVersions(service string) {
	h.versions.Observe(service, h.registry.SoftwareVersions(service), h.now())
}
