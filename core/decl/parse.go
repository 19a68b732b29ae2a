package decl

import (
	"bufio"
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// MaxBytes bounds the text of one declaration.
const MaxBytes = 8 << 20

// Fault is one thing wrong with a declaration.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// String gives the fault as "file:line: reason".
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

// Faults is every fault of a declaration; it is the error that Parse returns.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads a declaration. The error is Faults, in order of line.
func Parse(file string, text []byte) (*Set, error) {
	p := &parsing{file: file, lines: indexLines(text), set: &Set{
		Services: map[string]*Service{},
		Targets:  map[string]*Target{},
		Callers:  map[string]*Caller{},
		byToken:  map[string]*Caller{},
	}}
	if len(text) > MaxBytes {
		p.fault(1, "a declaration has at most %d bytes", MaxBytes)
		return nil, p.faults
	}
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true, AllowDuplicateShadowValues: true}, text)
	if err != nil {
		p.fault(1, "not INI: %s", firstLine(err.Error()))
		return nil, p.faults
	}
	for _, s := range f.Sections() {
		p.section(s)
	}
	p.check()
	if len(p.faults) > 0 {
		sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Line < p.faults[j].Line })
		return nil, p.faults
	}
	return p.set, nil
}

// parsing is the state of one Parse.
type parsing struct {
	file   string
	lines  lineIndex
	set    *Set
	faults Faults
	sect   string          // section at hand
	ini    *ini.Section    // the same
	used   map[string]bool // keys of it that were read
}

func (p *parsing) fault(line int, format string, args ...any) {
	p.faults = append(p.faults, Fault{File: p.file, Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (p *parsing) faultKey(key, format string, args ...any) {
	p.fault(p.lines.key(p.sect, key), "[%s] %s: %s", p.sect, key, fmt.Sprintf(format, args...))
}

func (p *parsing) section(s *ini.Section) {
	p.sect, p.ini, p.used = s.Name(), s, map[string]bool{}
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			p.fault(p.lines.key("", k.Name()), "key %q stands before any section", k.Name())
		}
		return
	}
	if p.lines.count(p.sect) > 1 {
		p.fault(p.lines.section(p.sect), "section [%s] stands twice", p.sect)
		return
	}
	kind, name, _ := strings.Cut(s.Name(), " ")
	name = strings.Trim(strings.TrimSpace(name), `"`)
	if name == "" || strings.ContainsAny(name, "/ \t\"") && kind != "rule" {
		p.fault(p.lines.section(p.sect), "section [%s] needs a name, as in [%s \"name\"], without spaces or slashes", p.sect, kind)
		return
	}
	switch kind {
	case "service":
		p.service(name)
	case "target":
		p.target(name)
	case "caller":
		p.caller(name)
	case "rule":
		p.rule(name)
	default:
		p.fault(p.lines.section(p.sect), "unknown section [%s]; there are service, target, caller and rule", p.sect)
		return
	}
	for _, k := range s.Keys() {
		if !p.used[k.Name()] {
			p.faultKey(k.Name(), "unknown key")
		}
	}
}

func (p *parsing) service(name string) {
	s := &Service{Name: name}
	s.Kind = ServiceKind(p.oneOf("kind", string(Engine), string(Plain)))
	s.Objective = Objective(p.oneOf("objective", string(Latency), string(Cache)))
	s.RetryRatio = p.float("retry_ratio", 0.2, 0, 1)
	s.QueueLimit = int(p.integer("queue_limit", 1024, 1, 1<<20))
	s.Timeout = p.duration("timeout", 2*time.Minute, time.Millisecond)
	s.TurnLimit = int(p.integer("turn_limit", 500, 1, 1<<20))
	s.HistoryTokens = p.integer("history_tokens", 210_000, 1, 1<<40)
	s.RepeatLimit = int(p.integer("repeat_limit", 8, 0, 1<<20))
	s.IdleTimeout = p.duration("idle_timeout", time.Hour, time.Second)
	p.set.Services[name] = s
}

func (p *parsing) target(name string) {
	t := &Target{Name: name}
	t.Service = p.text("service", true)
	t.DataCentre = p.text("data_centre", true)
	t.Vendor = p.text("vendor", false)
	t.URL = p.text("url", true)
	if t.URL != "" && !strings.HasPrefix(t.URL, "http://") && !strings.HasPrefix(t.URL, "https://") {
		p.faultKey("url", "must begin with http:// or https://")
	}
	t.Batch = int(p.integer("batch", 8, 1, 1<<16))
	t.CacheTokens = p.integer("cache_tokens", 120_000, 0, 1<<40)
	t.Prefill = p.duration("prefill", 50*time.Microsecond, 0)
	t.Decode = p.duration("decode", 8*time.Millisecond, 0)
	if m := p.text("models", false); m != "" {
		for one := range strings.SplitSeq(m, ",") {
			t.Models = append(t.Models, strings.TrimSpace(one))
		}
	}
	t.ChecksFencing = p.boolean("checks_fencing", true)
	t.Leaving = p.boolean("leaving", false)
	p.set.Targets[name] = t
}

func (p *parsing) caller(name string) {
	c := &Caller{Name: name}
	c.TokenSHA256 = strings.ToLower(p.text("token_sha256", true))
	c.CallsPerSecond = p.float("calls_per_second", 0, 0, 1e9)
	c.Budget = p.integer("budget", 1_000_000, 1, 1<<50)
	if len(c.TokenSHA256) != 64 {
		p.faultKey("token_sha256", "is 64 hex digits")
	}
	if _, ok := p.set.byToken[c.TokenSHA256]; ok {
		p.faultKey("token_sha256", "another caller has the same token")
	}
	p.set.Callers[name] = c
	p.set.byToken[c.TokenSHA256] = c
}

func (p *parsing) rule(name string) {
	line := p.lines.section(p.sect)
	r, err := newRule(name, p.text("when", false), p.text("then", true), line)
	if err != nil {
		p.fault(line, "[%s] %s", p.sect, failure.From(err).Detail)
		return
	}
	for _, earlier := range p.set.Rules {
		if earlier.shadows(r) {
			p.fault(line, "[%s] can never match: rule %q at line %d matches first", p.sect, earlier.Name, earlier.Line)
			return
		}
	}
	p.set.Rules = append(p.set.Rules, r)
}

// check verifies what the sections say of each other.
func (p *parsing) check() {
	for name, t := range p.set.Targets {
		if _, ok := p.set.Services[t.Service]; !ok && t.Service != "" {
			sect := fmt.Sprintf("target %q", name)
			p.fault(p.lines.key(sect, "service"), "[%s] unknown service %q", sect, t.Service)
		}
	}
	for _, r := range p.set.Rules {
		if _, ok := p.set.Services[r.Then.Service]; !ok && r.Then.Service != "" {
			p.fault(r.Line, "[rule %q] routes to unknown service %q", r.Name, r.Then.Service)
		}
	}
}

func (p *parsing) text(key string, required bool) string {
	p.used[key] = true
	if !p.ini.HasKey(key) {
		if required {
			p.fault(p.lines.section(p.sect), "[%s] key %q is missing", p.sect, key)
		}
		return ""
	}
	k := p.ini.Key(key)
	if len(k.ValueWithShadows()) > 1 {
		p.faultKey(key, "stands twice")
	}
	v := strings.TrimSpace(k.Value())
	if v == "" && required {
		p.faultKey(key, "is empty")
	}
	return v
}

func (p *parsing) oneOf(key, first string, others ...string) string {
	v := p.text(key, false)
	if v == "" || v == first {
		return first
	}
	for _, o := range others {
		if v == o {
			return o
		}
	}
	p.faultKey(key, "must be %s or %s, not %q", first, strings.Join(others, ", "), v)
	return first
}

func (p *parsing) integer(key string, def, least, most int64) int64 {
	v := p.text(key, false)
	if v == "" {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < least || n > most {
		p.faultKey(key, "must be a whole number from %d to %d, not %q", least, most, v)
		return def
	}
	return n
}

func (p *parsing) float(key string, def, least, most float64) float64 {
	v := p.text(key, false)
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= least && n <= most) {
		p.faultKey(key, "must be a number from %g to %g, not %q", least, most, v)
		return def
	}
	return n
}

func (p *parsing) duration(key string, def, least time.Duration) time.Duration {
	v := p.text(key, false)
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < least {
		p.faultKey(key, "must be a duration of at least %s, not %q", least, v)
		return def
	}
	return d
}

func (p *parsing) boolean(key string, def bool) bool {
	v := p.text(key, false)
	if v == "" {
		return def
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		p.faultKey(key, "must be true or false, not %q", v)
		return def
	}
	return b
}

// lineIndex finds the line of a section or key; ini.v1 does not keep it.
type lineIndex struct {
	sections map[string]int
	counts   map[string]int
	keys     map[string]int
}

func indexLines(text []byte) lineIndex {
	x := lineIndex{sections: map[string]int{}, counts: map[string]int{}, keys: map[string]int{}}
	scan := bufio.NewScanner(bytes.NewReader(text))
	scan.Buffer(nil, MaxBytes+1)
	sect := ""
	for n := 1; scan.Scan(); n++ {
		line := strings.TrimSpace(scan.Text())
		if strings.HasPrefix(line, "[") {
			sect = strings.TrimSpace(strings.Trim(line, "[]"))
			x.counts[sect]++
			x.sections[sect] = n
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			x.keys[sect+"\x00"+strings.TrimSpace(key)] = n
		}
	}
	return x
}

func (x lineIndex) section(name string) int { return max(1, x.sections[name]) }

func (x lineIndex) count(name string) int { return x.counts[name] }

func (x lineIndex) key(section, key string) int {
	if n, ok := x.keys[section+"\x00"+key]; ok {
		return n
	}
	return x.section(section)
}
