package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Role is the settings of an entry or history role.
type Role struct {
	Host, DataCentre, DataDir string
	// Regions is the region of each data centre.
	Regions map[string]string
	// Address is the host's own IP number.
	Address                   string
	CallerListen, ReadyListen string
	// MetricsPort is where metrics and the state are served; 0 if they are not.
	MetricsPort int
	// HistoryPort is where history hosts listen for entry hosts.
	HistoryPort int
	// Seeds are history hosts' addresses from the platform, which may be stale.
	Seeds           []string
	PlatformAddress string
	MemoryBytes     int64
	Descriptors     int
	// ToleratedHostFaults is how many history hosts may be lost at once.
	ToleratedHostFaults int
	// GracePeriod is the time from the order to stop to the kill.
	GracePeriod time.Duration
	// ContactWindow is how long the platform must have answered without trouble before
	// its changes must be in force within their bounds.
	ContactWindow time.Duration
	// MaxKeyRemovalDelay is the time after which no host serves by a key that was taken away,
	// whatever it hears; 0 if only hosts in touch with the platform must know.
	MaxKeyRemovalDelay time.Duration
	// MaxEvacuationDelay is the time after which no host sends to the targets of a data centre that is
	// to be evacuated; 0 if operators ask for none.
	MaxEvacuationDelay time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack are by how much the quotas of customers may be
	// exceeded; see quota.Tolerance.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// LoadExchange is auto, or off if hosts do not tell each other what they see of the targets.
	LoadExchange string
	// LogLevel is the least level of log lines that are written.
	LogLevel string
}

const (
	// watchMargin is kept of the contact time for giving up a watch that hangs (0.3 s)
	// and reading anew (0.1 s); each watch is a priced call.
	watchMargin = 700 * time.Millisecond
	// keyWatchLeast is watchLeast where the configuration's age decides what is served.
	keyWatchLeast = 200 * time.Millisecond
	// watchLeast keeps watches from turning into polls where the contact time is short.
	watchLeast = 500 * time.Millisecond
)

// WatchTimeout is how long one watch of the platform may wait. A watch can hang from
// the last moment of an outage on; it is given up and what it missed is read
// before the contact time after the outage has passed.
func (r *Role) WatchTimeout() time.Duration {
	return max(watchLeast, r.ContactWindow-watchMargin)
}

// keyRemoval reads the bound on removed keys, which holds where it is strict.
func (r *reader) keyRemoval() time.Duration {
	const section, key = "keys", "removal_ms"
	if r.oneOf(section, "removal_strict", "false", "true") != "true" {
		r.text(section, key, "") // known, but of no use
		return 0
	}
	bound := r.milliseconds(section, key, 1, 0)
	if bound == 0 {
		r.fault(section, key, "must be given where removal_strict is true")
	}
	return bound
}

const (
	// keyAgeShare is the part of the time for the removal of a key after which a host that
	// has not heard since serves by no key any more. The rest, a second of five, covers watches
	// of the platform that hear nothing for a second while its history is dropped: a word that
	// such a watch confirms may be that much older than it says.
	keyAgeShare = 0.8
	// relayedShare and followedShare are the waits of the relays' and of the other hosts'
	// watches of the configuration, as parts of that time. Answers are passed on as they come,
	// so that a host's word is at most some three waits of a relay old while nothing fails.
	relayedShare, followedShare = 0.06, 0.12
	// sureShare is how old a host's word may be for a key to be surely unknown.
	sureShare = 0.4
	// sureWatches is how many watches old a host's word of the configuration may be for that,
	// where removal is not strict: one for each step.
	sureWatches = 3
)

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// KeyMaxAge is how old a host's word of the configuration may be to serve by keys; 0 where
// there is no bound.
func (r *Role) KeyMaxAge() time.Duration { return share(keyAgeShare, r.MaxKeyRemovalDelay) }

// UnknownKeyMaxAge is how old a host's word of the configuration may be to call a key unknown.
func (r *Role) UnknownKeyMaxAge() time.Duration {
	if r.MaxKeyRemovalDelay > 0 {
		return share(sureShare, r.MaxKeyRemovalDelay)
	}
	return sureWatches * r.WatchTimeout()
}

// RelayedConfigWatch is how long one watch of a relay for the configuration may wait.
func (r *Role) RelayedConfigWatch() time.Duration {
	return r.configWatch(relayedShare)
}

// ConfigWatch is how long one watch of any other host for the configuration may wait.
func (r *Role) ConfigWatch() time.Duration {
	return r.configWatch(followedShare)
}

// configWatch keeps watches short enough that what they tell in vain comes in time.
func (r *Role) configWatch(part float64) time.Duration {
	if r.MaxKeyRemovalDelay == 0 {
		return r.WatchTimeout()
	}
	return min(r.WatchTimeout(), max(keyWatchLeast, share(part, r.MaxKeyRemovalDelay)))
}

// HistoryListen is the address that history hosts listen on.
func (r *Role) HistoryListen() string {
	return net.JoinHostPort(r.Address, strconv.Itoa(r.HistoryPort))
}

// MetricsListen is the address of metrics and state, empty if they are not served.
func (r *Role) MetricsListen() string {
	if r.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(r.Address, strconv.Itoa(r.MetricsPort))
}

// LoadRole reads and checks the settings of a role. The error is Faults, or a
// Failure if the file cannot be read.
func LoadRole(path string) (*Role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSetting, "settings file")
	}
	return ParseRole(text)
}

// ParseRole checks the text of a role's settings.
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
		MaxKeyRemovalDelay:  r.keyRemoval(),
		MaxEvacuationDelay:  r.milliseconds("evacuations", "bound_ms", 1, 0),
		QuotaWindow:         r.milliseconds("quotas", "window_s", 1000, 0),
		QuotaOverage:        r.fraction("quotas", "overage"),
		QuotaSlack:          r.fraction("quotas", "slack"),
		Regions:             r.table("regions"),
		LoadExchange:        r.oneOf("loads", "exchange", loadsAuto, loadsOff),
	}
	r.required("host", "name", s.Host)
	r.required("host", "data_centre", s.DataCentre)
	r.required("platform", "address", s.PlatformAddress)
	if net.ParseIP(s.Address) == nil {
		r.fault("listen", "address", "%q is not an IP number", s.Address)
	}
	r.checkUnknown()
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	for i, seed := range s.Seeds {
		s.Seeds[i] = s.historyAddress(seed)
	}
	return s, nil
}

// historyAddress is where the history host at an address listens for other hosts: ports
// are the same everywhere.
func (r *Role) historyAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address // checked when it was read
	}
	return net.JoinHostPort(host, strconv.Itoa(r.HistoryPort))
}

// milliseconds reads a number, fractions allowed, of the unit, which is given in
// milliseconds; def is in milliseconds.
func (r *reader) milliseconds(section, key string, unit, def float64) time.Duration {
	v := r.text(section, key, "")
	if v == "" {
		return time.Duration(def * float64(time.Millisecond))
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n > 0 && n*unit <= maxTimingMs) {
		r.fault(section, key, "must be a number over 0 and at most a day, not %q", v)
	}
	return time.Duration(n * unit * float64(time.Millisecond))
}

// fraction reads a number that is not below 0; 0 if none is given.
func (r *reader) fraction(section, key string) float64 {
	v := r.text(section, key, "")
	if v == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0 && n <= mostFraction) {
		r.fault(section, key, "must be a number from 0 to %g, not %q", float64(mostFraction), v)
	}
	return n
}

// The ways of exchanging loads: where hosts hear too little by themselves, or never.
const loadsAuto, loadsOff = "auto", "off"

// ExchangesLoads reports whether hosts may tell each other what they see of the targets.
func (r *Role) ExchangesLoads() bool { return r.LoadExchange != loadsOff }

// mostFraction is above any tolerance.
const mostFraction = 1e6

// maxTimingMs is a day: longer times are slips of the pen.
const maxTimingMs = 24 * 60 * 60 * 1000

func (r *reader) required(section, key, value string) {
	if value == "" {
		r.fault(section, key, "is missing")
	}
}
