package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Role holds the settings of an entry or history role.
type Role struct {
	// Host and DataCentre are the names of the host and its data centre; DataDir is its data
	// directory.
	Host, DataCentre, DataDir string
	// Regions is the region of each data centre.
	Regions map[string]string
	// Address is the host's own IP address.
	Address string
	// CallerListen and ReadyListen are the addresses on which an entry host listens for callers and
	// for readiness checks.
	CallerListen, ReadyListen string
	// MetricsPort is the port of metrics and state; 0 if they are not served.
	MetricsPort int
	// HistoryPort is the port on which history hosts listen for entry hosts.
	HistoryPort int
	// Seeds are addresses of history hosts as given by the platform; they may be stale.
	Seeds           []string
	PlatformAddress string
	// MemoryBytes and Descriptors are the limits of the process on memory and file descriptors; 0
	// if there is none.
	MemoryBytes int64
	Descriptors int
	// ToleratedHostFaults is the number of history hosts that may be lost at once.
	ToleratedHostFaults int
	// GracePeriod is the time between the request to stop and the kill.
	GracePeriod time.Duration
	// ContactWindow is the time for which the platform must have answered without errors. Only
	// after it must the platform's changes be in force within their bounds.
	ContactWindow time.Duration
	// MaxConfigDelay and MaxDrainDelay are the times after their acknowledgement by the platform
	// within which a configuration is in force, and a draining target gets no more requests.
	MaxConfigDelay, MaxDrainDelay time.Duration
	// MaxKeyRemovalDelay is the time after which no host accepts a removed key, even if it cannot
	// reach the platform; 0 if only hosts that reach the platform must apply the removal.
	MaxKeyRemovalDelay time.Duration
	// MaxEvacuationDelay is the time after which no host sends to the targets of a data centre
	// under evacuation; 0 if evacuations are not used.
	MaxEvacuationDelay time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack state by how much customers may exceed their
	// quotas; see quota.Tolerance.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// LoadExchange is auto, or off if hosts do not exchange their observations of targets.
	LoadExchange string
	// LogLevel is the minimum level of log lines that are written.
	LogLevel string
}

const (
	// watchTimeoutMargin is the part of the contact window reserved for abandoning a watch that
	// hangs (0.3 s) and reading again (0.1 s). It is kept small because each watch is a priced call.
	watchTimeoutMargin = 700 * time.Millisecond
	// minKeyWatchTimeout replaces minWatchTimeout if keys are accepted only up to a maximum age of
	// the configuration.
	minKeyWatchTimeout = 200 * time.Millisecond
	// minWatchTimeout prevents watches from becoming polls if the contact window is short. It takes
	// precedence over the contact window: a watch may then end after it.
	minWatchTimeout = 500 * time.Millisecond
)

// WatchTimeout returns how long one watch of the platform may wait. A watch that starts at the
// end of an outage can hang; it is abandoned, and the changes it missed are read, within the
// contact window after the outage.
func (r *Role) WatchTimeout() time.Duration {
	return max(minWatchTimeout, r.ContactWindow-watchTimeoutMargin)
}

const (
	// silentCallTimeout is the time in which a host finds that the platform does not reply to it: the
	// time beyond its wait in which a watch is abandoned, and the duration of a poll.
	silentCallTimeout = 300 * time.Millisecond
	// directReadTime is the time in which other hosts read a change themselves once no relay serves
	// them: their delay before the first call (0.15 s), and the call itself at a busy host.
	directReadTime = 500 * time.Millisecond
)

// RelayedWatchTimeout returns how long one watch of configurations or targets by a relay may wait.
func (r *Role) RelayedWatchTimeout() time.Duration {
	return r.relayedWatchTimeout(min(r.MaxConfigDelay, r.MaxDrainDelay))
}

// RelayedEvacuationWatchTimeout returns how long one watch of evacuations by a relay may wait.
func (r *Role) RelayedEvacuationWatchTimeout() time.Duration {
	if r.MaxEvacuationDelay == 0 {
		return r.WatchTimeout()
	}
	return r.relayedWatchTimeout(r.MaxEvacuationDelay)
}

// relayedWatchTimeout returns the timeout of a relay's watch of changes that must be in force on all
// hosts within bound. If the platform does not reply to the relays, the other hosts are still in contact
// with it and must have its changes in time: after the first relay's watch and a poll of each other
// relay, of which there is one for each tolerated fault, they read the changes themselves.
func (r *Role) relayedWatchTimeout(bound time.Duration) time.Duration {
	relays := time.Duration(1 + r.ToleratedHostFaults)
	bounded := bound - relays*silentCallTimeout - directReadTime
	return min(r.WatchTimeout(), max(minWatchTimeout, bounded))
}

// maxKeyRemovalDelay reads the bound on the removal of keys; 0 unless removal_strict is true.
func (r *reader) maxKeyRemovalDelay() time.Duration {
	const section, key = "keys", "removal_ms"
	if r.oneOf(section, "removal_strict", "false", "true") != "true" {
		r.text(section, key, "") // marks the key as known; its value is not used
		return 0
	}
	bound := r.milliseconds(section, key, 1, 0)
	if bound == 0 {
		r.reject(section, key, "must be given where removal_strict is true")
	}
	return bound
}

const (
	// keyMaxAgeFraction is the fraction of MaxKeyRemovalDelay after which a host without a newer
	// confirmation of the configuration accepts no key. The rest, one second of five, covers
	// watches that receive nothing for a second while the platform discards its change history: a
	// configuration that such a watch confirms may be older by that second than its stated age.
	keyMaxAgeFraction = 0.8
	// relayedKeyWatchFraction and keyWatchFraction are the timeouts of the relays' and of the other
	// hosts' watches of the configuration, as fractions of MaxKeyRemovalDelay. Answers are passed
	// on as they arrive, so that without failures a host's confirmation is at most about three
	// relay timeouts old.
	relayedKeyWatchFraction, keyWatchFraction = 0.06, 0.12
	// unknownAgeFraction is the maximum age of a host's configuration for rejecting a key or a route as
	// unknown, as a fraction of MaxKeyRemovalDelay.
	unknownAgeFraction = 0.4
	// unknownMaxWatches is the same maximum age, in watch timeouts, if removal is not strict: one
	// watch for each hop.
	unknownMaxWatches = 3
)

// fractionOf returns a fraction of a duration.
func fractionOf(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// KeyMaxAge returns the maximum age of a host's configuration for accepting keys; 0 if there is
// no bound.
func (r *Role) KeyMaxAge() time.Duration { return fractionOf(keyMaxAgeFraction, r.MaxKeyRemovalDelay) }

// UnknownMaxAge returns the maximum age of a host's configuration for rejecting a key or a route as
// unknown.
func (r *Role) UnknownMaxAge() time.Duration {
	if r.MaxKeyRemovalDelay > 0 {
		return fractionOf(unknownAgeFraction, r.MaxKeyRemovalDelay)
	}
	return unknownMaxWatches * r.WatchTimeout()
}

// RelayedConfigWatchTimeout returns how long one watch of the configuration by a relay may wait.
func (r *Role) RelayedConfigWatchTimeout() time.Duration {
	return r.boundedWatchTimeout(r.RelayedWatchTimeout(), relayedKeyWatchFraction)
}

// ConfigWatchTimeout returns how long one watch of the configuration by any other host may wait.
func (r *Role) ConfigWatchTimeout() time.Duration {
	return r.boundedWatchTimeout(r.WatchTimeout(), keyWatchFraction)
}

// boundedWatchTimeout returns a watch timeout of at most longest, and short enough that confirmations
// without changes arrive within their fraction of MaxKeyRemovalDelay.
func (r *Role) boundedWatchTimeout(longest time.Duration, fraction float64) time.Duration {
	if r.MaxKeyRemovalDelay == 0 {
		return longest
	}
	return min(longest, max(minKeyWatchTimeout, fractionOf(fraction, r.MaxKeyRemovalDelay)))
}

// HistoryListen returns the address on which this host, as a history host, listens.
func (r *Role) HistoryListen() string {
	return net.JoinHostPort(r.Address, strconv.Itoa(r.HistoryPort))
}

// MetricsListen returns the address of metrics and state; empty if they are not served.
func (r *Role) MetricsListen() string {
	if r.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(r.Address, strconv.Itoa(r.MetricsPort))
}

// LoadRole reads and validates the settings file of a role. The error is InvalidSettings, or a
// Failure of kind InvalidSetting if the file cannot be read.
func LoadRole(path string) (*Role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSetting, "settings file")
	}
	return ParseRole(text)
}

// ParseRole parses and validates the text of a role's settings. The error is InvalidSettings.
func ParseRole(text []byte) (*Role, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, InvalidSettings{{Reason: "not INI: " + err.Error()}}
	}
	r := &reader{file: f, used: map[string]bool{}}
	s := &Role{
		Host:                r.text("host", "name", ""),
		DataCentre:          r.text("host", "data_centre", ""),
		DataDir:             r.text("host", "data_folder", ""),
		Address:             r.text("listen", "address", ""),
		CallerListen:        r.address("listen", "callers", ""),
		ReadyListen:         r.address("listen", "ready", ""),
		MetricsPort:         int(r.integer("listen", "metrics_port", 0, 0, 65535)),
		LogLevel:            r.oneOf("log", "level", "info", "debug", "warn", "error"),
		HistoryPort:         int(r.integer("listen", "first_internal_port", 0, 1, 65535)),
		PlatformAddress:     r.address("platform", "address", ""),
		Seeds:               r.addresses("peers", "seeds"),
		MemoryBytes:         r.integer("limits", "memory_mb", 0, 16, 1<<20) << 20,
		Descriptors:         int(r.integer("limits", "descriptors", 0, 256, 1<<24)),
		ToleratedHostFaults: int(r.integer("faults", "hosts", 1, 0, 16)),
		GracePeriod:         r.milliseconds("timing", "grace_s", 1000, 8000),
		ContactWindow:       r.milliseconds("timing", "contact_ms", 1, 3000),
		MaxConfigDelay:      r.milliseconds("timing", "config_ms", 1, 2000),
		MaxDrainDelay:       r.milliseconds("timing", "drain_ms", 1, 2000),
		MaxKeyRemovalDelay:  r.maxKeyRemovalDelay(),
		MaxEvacuationDelay:  r.milliseconds("evacuations", "bound_ms", 1, 0),
		QuotaWindow:         r.milliseconds("quotas", "window_s", 1000, 0),
		QuotaOverage:        r.fraction("quotas", "overage"),
		QuotaSlack:          r.fraction("quotas", "slack"),
		Regions:             r.table("regions"),
		LoadExchange:        r.oneOf("loads", "exchange", loadExchangeAuto, loadExchangeOff),
	}
	r.required("host", "name", s.Host)
	r.required("host", "data_centre", s.DataCentre)
	r.required("platform", "address", s.PlatformAddress)
	if net.ParseIP(s.Address) == nil {
		r.reject("listen", "address", "%q is not an IP address", s.Address)
	}
	r.checkUnknown()
	if len(r.invalid) > 0 {
		return nil, r.invalid
	}
	for i, seed := range s.Seeds {
		s.Seeds[i] = s.historyAddress(seed)
	}
	return s, nil
}

// historyAddress returns the address on which the history host at an address listens for other
// hosts. Ports are the same on all hosts.
func (r *Role) historyAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address // addresses are validated when they are read
	}
	return net.JoinHostPort(host, strconv.Itoa(r.HistoryPort))
}

// milliseconds reads a duration as a decimal number of units; unit and def are in milliseconds.
func (r *reader) milliseconds(section, key string, unit, def float64) time.Duration {
	v := r.text(section, key, "")
	if v == "" {
		return time.Duration(def * float64(time.Millisecond))
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n > 0 && n*unit <= maxTimingMs) {
		r.reject(section, key, "must be a number above 0 and at most a day, not %q", v)
	}
	return time.Duration(n * unit * float64(time.Millisecond))
}

// fraction reads a number from 0 to maxFraction; 0 if none is given.
func (r *reader) fraction(section, key string) float64 {
	v := r.text(section, key, "")
	if v == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0 && n <= maxFraction) {
		r.reject(section, key, "must be a number from 0 to %g, not %q", float64(maxFraction), v)
	}
	return n
}

// Modes of the exchange of loads between hosts: auto exchanges them where a host receives too few
// load reports itself, off never does.
const loadExchangeAuto, loadExchangeOff = "auto", "off"

// ExchangesLoads reports whether hosts may exchange their observations of targets.
func (r *Role) ExchangesLoads() bool { return r.LoadExchange != loadExchangeOff }

// maxFraction is the largest value that fraction accepts; it exceeds any meaningful tolerance.
const maxFraction = 1e6

// maxTimingMs is one day in milliseconds; longer times are assumed to be typing errors.
const maxTimingMs = 24 * 60 * 60 * 1000

// required rejects an empty value.
func (r *reader) required(section, key, value string) {
	if value == "" {
		r.reject(section, key, "is missing")
	}
}
