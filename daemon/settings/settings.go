// Package settings reads and validates the INI settings of pistachiod.
package settings

import (
	"cmp"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// Settings is the content of a settings file.
type Settings struct {
	// Host is the configuration of the state machine in core/host; Incarnation and Address are
	// set at startup.
	Host host.Config

	// CallerListen, OperatorListen and PeerListen are the addresses to listen on.
	CallerListen, OperatorListen, PeerListen string
	// PeerAdvertise is the address advertised to peers; empty for the listener's address.
	PeerAdvertise string
	// Seeds are the addresses of peers that are given in the settings.
	Seeds []string

	PlatformURL, PlatformToken string
	// OperatorTokenSHA256 is the SHA-256 of the operators' token, in hex digits.
	OperatorTokenSHA256 string

	// PeerCert, PeerKey and PeerCA are files for TLS between hosts; all three or none are set.
	PeerCert, PeerKey, PeerCA string

	DataDir  string
	LogLevel string

	// MaxBodyBytes is the maximum size of a caller's request body.
	MaxBodyBytes int64
	// ClientWriteTimeout bounds a write of an answer to a caller.
	ClientWriteTimeout time.Duration
	// ForwardTimeout is the time after which a request is no longer retried at the owner of its slot.
	ForwardTimeout time.Duration
	// ReportInterval is the interval between reads of the engines' loads.
	ReportInterval time.Duration
	// SweepInterval is the interval between reads of the programs in the engines' caches.
	SweepInterval time.Duration
}

// InvalidSetting describes one invalid setting.
type InvalidSetting struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Reason  string `json:"reason"`
}

// InvalidSettings is the error that lists all invalid settings of a file.
type InvalidSettings []InvalidSetting

// Error implements error.
func (s InvalidSettings) Error() string {
	lines := make([]string, len(s))
	for i, x := range s {
		lines[i] = fmt.Sprintf("[%s] %s: %s", x.Section, x.Key, x.Reason)
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. The error is InvalidSettings, or a Failure of kind
// InvalidSetting if the file cannot be read.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSetting, "settings file")
	}
	return Parse(text)
}

// Parse parses and validates the text of a settings file. The error is InvalidSettings.
func Parse(text []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, InvalidSettings{{Section: "", Key: "", Reason: "not INI: " + err.Error()}}
	}
	r := &reader{file: f, used: map[string]bool{}}
	s := r.read()
	r.checkUnknown()
	if len(r.invalid) > 0 {
		return nil, r.invalid
	}
	return s, nil
}

// reader reads settings and collects the invalid ones.
type reader struct {
	file *ini.File
	// used holds the keys read so far, as section, NUL and key.
	used    map[string]bool
	invalid InvalidSettings
}

func (r *reader) read() *Settings {
	s := &Settings{Host: host.DefaultConfig()}
	h := &s.Host
	h.Host = r.name("host", "name", true)
	h.DataCentre = r.name("host", "data_centre", true)
	s.DataDir = r.text("host", "data_folder", "")
	h.HasDisk = s.DataDir != ""
	s.CallerListen = r.address("listen", "callers", "127.0.0.1:0")
	s.OperatorListen = r.address("listen", "operators", "127.0.0.1:0")
	s.PeerListen = r.address("listen", "peers", "127.0.0.1:0")
	s.PeerAdvertise = r.address("listen", "advertise", "")
	s.PlatformURL = r.url("platform", "url")
	s.PlatformToken = r.text("platform", "token", "")
	s.OperatorTokenSHA256 = r.digest("operators", "token_sha256")
	s.Seeds = r.addresses("peers", "seeds")
	r.tls(s)
	r.timing(h)
	r.limits(s)
	s.LogLevel = r.oneOf("log", "level", "info", "debug", "warn", "error")
	h.Policy = r.oneOf("scheduling", "policy", sched.Policies()[0], sched.Policies()[1:]...)
	h.Slots = int(r.integer("scheduling", "slots", int64(h.Slots), 1, 4096))
	return s
}

func (r *reader) tls(s *Settings) {
	s.PeerCert = r.path("peers", "tls_cert")
	s.PeerKey = r.path("peers", "tls_key")
	s.PeerCA = r.path("peers", "tls_ca")
	given := 0
	for _, f := range []string{s.PeerCert, s.PeerKey, s.PeerCA} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		r.reject("peers", "tls_cert", "tls_cert, tls_key and tls_ca must be set together")
	}
}

func (r *reader) timing(h *host.Config) {
	h.LeaseDuration = r.duration("timing", "lease", h.LeaseDuration, 500*time.Millisecond)
	h.RenewInterval = r.duration("timing", "renew", h.RenewInterval, 50*time.Millisecond)
	h.ClockMargin = r.duration("timing", "clock_margin", h.ClockMargin, time.Millisecond)
	h.DataCentreLeaseDuration = r.duration("timing", "data_centre_lease", h.DataCentreLeaseDuration, time.Second)
	h.HeartbeatInterval = r.duration("timing", "heartbeat", h.HeartbeatInterval, 10*time.Millisecond)
	h.SuspectTimeout = r.duration("timing", "suspect", h.SuspectTimeout, 50*time.Millisecond)
	h.PromiseDuration = r.duration("timing", "promise", h.PromiseDuration, 100*time.Millisecond)
	h.FlushInterval = r.duration("timing", "journal_flush", h.FlushInterval, 10*time.Millisecond)
	h.ConfigPollInterval = r.duration("timing", "config_poll", h.ConfigPollInterval, 100*time.Millisecond)
	h.Retention = r.duration("timing", "retention", h.Retention, time.Second)
	if h.RenewInterval*2 > h.LeaseDuration {
		r.reject("timing", "renew", "must be at most half of the lease duration")
	}
	if h.DataCentreLeaseDuration < 2*h.LeaseDuration {
		r.reject("timing", "data_centre_lease", "must be at least twice the lease duration")
	}
	if h.SuspectTimeout < 2*h.HeartbeatInterval {
		r.reject("timing", "suspect", "must be at least twice the heartbeat interval")
	}
}

// maxBodyBytes ensures that the record of a call fits into one platform object.
const maxBodyBytes = 512 << 10

func (r *reader) limits(s *Settings) {
	s.MaxBodyBytes = r.integer("limits", "body_bytes", 512<<10, 1024, maxBodyBytes)
	s.Host.MaxPrograms = int(r.integer("limits", "programs", int64(s.Host.MaxPrograms), 1, 1<<24))
	s.Host.MaxTailBytes = int(r.integer("limits", "tail_bytes", int64(s.Host.MaxTailBytes), 1<<16, 24<<20))
	s.ClientWriteTimeout = r.duration("limits", "client_write", 10*time.Second, time.Millisecond)
	s.ForwardTimeout = r.duration("limits", "forward_patience", 20*time.Second, time.Millisecond)
	s.ReportInterval = r.duration("limits", "report_every", time.Second, 10*time.Millisecond)
	s.SweepInterval = r.duration("limits", "sweep_every", time.Second, 10*time.Millisecond)
}

// reject records an invalid setting.
func (r *reader) reject(section, key, format string, args ...any) {
	r.invalid = append(r.invalid, InvalidSetting{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// text reads a value and marks its key as known; def if the key is missing.
func (r *reader) text(section, key, def string) string {
	r.used[section+"\x00"+key] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return def
	}
	return strings.TrimSpace(s.Key(key).Value())
}

func (r *reader) name(section, key string, required bool) string {
	v := r.text(section, key, "")
	if v == "" && required {
		r.reject(section, key, "is missing")
	}
	if strings.ContainsAny(v, "./ \t\"") {
		r.reject(section, key, "%q must not contain dots, slashes, spaces or quotes", v)
	}
	return v
}

func (r *reader) address(section, key, def string) string {
	v := r.text(section, key, def)
	if v == "" {
		return v
	}
	r.checkAddress(section, key, v)
	return v
}

func (r *reader) checkAddress(section, key, v string) {
	ip, _, err := net.SplitHostPort(v)
	if err != nil {
		r.reject(section, key, "%q is not IP:port", v)
		return
	}
	if net.ParseIP(ip) == nil {
		r.reject(section, key, "%q is not an IP address", ip)
	}
}

func (r *reader) addresses(section, key string) []string {
	var all []string
	for a := range strings.SplitSeq(r.text(section, key, ""), ",") {
		if a = strings.TrimSpace(a); a != "" {
			r.checkAddress(section, key, a)
			all = append(all, a)
		}
	}
	return all
}

func (r *reader) url(section, key string) string {
	v := r.text(section, key, "")
	if v == "" {
		r.reject(section, key, "is missing")
		return v
	}
	if u, err := url.Parse(v); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		r.reject(section, key, "%q is not an http or https URL", v)
	}
	return v
}

func (r *reader) digest(section, key string) string {
	v := strings.ToLower(r.text(section, key, ""))
	if len(v) != 64 || strings.Trim(v, "0123456789abcdef") != "" {
		r.reject(section, key, "must be the 64 hex digits of a SHA-256")
	}
	return v
}

// path reads the path of an existing file.
func (r *reader) path(section, key string) string {
	v := r.text(section, key, "")
	if v == "" {
		return v
	}
	if _, err := os.Stat(v); err != nil {
		r.reject(section, key, "cannot be read: %v", err)
	}
	return v
}

// table reads all keys of a section, without those that have no value.
func (r *reader) table(section string) map[string]string {
	s, err := r.file.GetSection(section)
	if err != nil {
		return nil
	}
	values := map[string]string{}
	for _, key := range s.KeyStrings() {
		if v := r.text(section, key, ""); v != "" {
			values[key] = v
		}
	}
	return values
}

// oneOf reads one of the given values; the first one is the default.
func (r *reader) oneOf(section, key, first string, others ...string) string {
	v := cmp.Or(r.text(section, key, ""), first)
	if v != first && !slices.Contains(others, v) {
		r.reject(section, key, "must be %s or %s, not %q", first, strings.Join(others, ", "), v)
	}
	return v
}

func (r *reader) integer(section, key string, def, minimum, maximum int64) int64 {
	v := r.text(section, key, "")
	if v == "" {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < minimum || n > maximum {
		r.reject(section, key, "must be a whole number from %d to %d, not %q", minimum, maximum, v)
	}
	return n
}

func (r *reader) duration(section, key string, def, minimum time.Duration) time.Duration {
	v := r.text(section, key, "")
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minimum || d > 24*time.Hour {
		r.reject(section, key, "must be a duration from %s to 24h, not %q", minimum, v)
		return def
	}
	return d
}

// checkUnknown rejects unknown keys, so that a misspelt key does not silently leave the default
// in force.
func (r *reader) checkUnknown() {
	for _, s := range r.file.Sections() {
		for _, k := range s.Keys() {
			if !r.used[s.Name()+"\x00"+k.Name()] {
				r.reject(s.Name(), k.Name(), "unknown setting")
			}
		}
	}
}
