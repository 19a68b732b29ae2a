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

// MaxBytes is the maximum size of the text of one declaration.
const MaxBytes = 8 << 20

// Fault is one error in a declaration.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"` // from 1
	Reason string `json:"reason"`
}

// String formats the fault as "file:line: reason".
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

// Faults lists all faults of a declaration. It is the error that Parse returns.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Parse parses and validates a declaration; file is the file name for faults. The
// error is of type Faults, in order of line.
func Parse(file string, text []byte) (*Set, error) {
	p := &parseState{file: file, lines: newLineIndex(text), set: &Set{
		Services: map[string]*Service{},
		Targets:  map[string]*Target{},
		Callers:  map[string]*Caller{},
		byToken:  map[string]*Caller{},
	}}
	if len(text) > MaxBytes {
		p.fault(1, "declaration exceeds %d bytes", MaxBytes)
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

// parseState is the state of one call of Parse.
type parseState struct {
	file        string
	lines       lineIndex
	set         *Set
	faults      Faults
	sectionName string          // name of the current section
	ini         *ini.Section    // the current section
	used        map[string]bool // keys of the current section that were read
}

func (p *parseState) fault(line int, format string, args ...any) {
	p.faults = append(p.faults, Fault{File: p.file, Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (p *parseState) faultKey(key, format string, args ...any) {
	p.fault(p.lines.key(p.sectionName, key), "[%s] %s: %s", p.sectionName, key, fmt.Sprintf(format, args...))
}

func (p *parseState) section(s *ini.Section) {
	p.sectionName, p.ini, p.used = s.Name(), s, map[string]bool{}
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			p.fault(p.lines.key("", k.Name()), "key %q before the first section", k.Name())
		}
		return
	}
	if p.lines.count(p.sectionName) > 1 {
		p.fault(p.lines.section(p.sectionName), "section [%s] is declared twice", p.sectionName)
		return
	}
	kind, name, _ := strings.Cut(s.Name(), " ")
	name = strings.Trim(strings.TrimSpace(name), `"`)
	if name == "" || strings.ContainsAny(name, "/ \t\"") && kind != "rule" {
		p.fault(p.lines.section(p.sectionName), "section [%s] needs a name, as in [%s \"name\"], without spaces or slashes", p.sectionName, kind)
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
		p.fault(p.lines.section(p.sectionName), "unknown section [%s]; valid sections are service, target, caller and rule", p.sectionName)
		return
	}
	for _, k := range s.Keys() {
		if !p.used[k.Name()] {
			p.faultKey(k.Name(), "unknown key")
		}
	}
}

func (p *parseState) service(name string) {
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

func (p *parseState) target(name string) {
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
		for model := range strings.SplitSeq(m, ",") {
			t.Models = append(t.Models, strings.TrimSpace(model))
		}
	}
	t.ChecksFencing = p.boolean("checks_fencing", true)
	t.Leaving = p.boolean("leaving", false)
	p.set.Targets[name] = t
}

func (p *parseState) caller(name string) {
	c := &Caller{Name: name}
	c.TokenSHA256 = strings.ToLower(p.text("token_sha256", true))
	c.CallsPerSecond = p.float("calls_per_second", 0, 0, 1e9)
	c.Budget = p.integer("budget", 1_000_000, 1, 1<<50)
	if len(c.TokenSHA256) != 64 {
		p.faultKey("token_sha256", "must be 64 hex digits")
	}
	if _, ok := p.set.byToken[c.TokenSHA256]; ok {
		p.faultKey("token_sha256", "another caller has the same token")
	}
	p.set.Callers[name] = c
	p.set.byToken[c.TokenSHA256] = c
}

func (p *parseState) rule(name string) {
	line := p.lines.section(p.sectionName)
	r, err := newRule(name, p.text("when", false), p.text("then", true), line)
	if err != nil {
		p.fault(line, "[%s] %s", p.sectionName, failure.From(err).Detail)
		return
	}
	for _, earlier := range p.set.Rules {
		if earlier.shadows(r) {
			p.fault(line, "[%s] can never match: rule %q on line %d matches first", p.sectionName, earlier.Name, earlier.Line)
			return
		}
	}
	p.set.Rules = append(p.set.Rules, r)
}

// check verifies the references between sections.
func (p *parseState) check() {
	for name, t := range p.set.Targets {
		if _, ok := p.set.Services[t.Service]; !ok && t.Service != "" {
			section := fmt.Sprintf("target %q", name)
			p.fault(p.lines.key(section, "service"), "[%s] unknown service %q", section, t.Service)
		}
	}
	for _, r := range p.set.Rules {
		if _, ok := p.set.Services[r.Then.Service]; !ok && r.Then.Service != "" {
			p.fault(r.Line, "[rule %q] routes to unknown service %q", r.Name, r.Then.Service)
		}
	}
}

func (p *parseState) text(key string, required bool) string {
	p.used[key] = true
	if !p.ini.HasKey(key) {
		if required {
			p.fault(p.lines.section(p.sectionName), "[%s] key %q is missing", p.sectionName, key)
		}
		return ""
	}
	k := p.ini.Key(key)
	if len(k.ValueWithShadows()) > 1 {
		p.faultKey(key, "is given twice")
	}
	v := strings.TrimSpace(k.Value())
	if v == "" && required {
		p.faultKey(key, "is empty")
	}
	return v
}

func (p *parseState) oneOf(key, defaultValue string, alternatives ...string) string {
	v := p.text(key, false)
	if v == "" || v == defaultValue {
		return defaultValue
	}
	for _, alternative := range alternatives {
		if v == alternative {
			return alternative
		}
	}
	p.faultKey(key, "must be %s or %s, not %q", defaultValue, strings.Join(alternatives, ", "), v)
	return defaultValue
}

func (p *parseState) integer(key string, defaultValue, minValue, maxValue int64) int64 {
	v := p.text(key, false)
	if v == "" {
		return defaultValue
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < minValue || n > maxValue {
		p.faultKey(key, "must be a whole number from %d to %d, not %q", minValue, maxValue, v)
		return defaultValue
	}
	return n
}

func (p *parseState) float(key string, defaultValue, minValue, maxValue float64) float64 {
	v := p.text(key, false)
	if v == "" {
		return defaultValue
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= minValue && n <= maxValue) {
		p.faultKey(key, "must be a number from %g to %g, not %q", minValue, maxValue, v)
		return defaultValue
	}
	return n
}

func (p *parseState) duration(key string, defaultValue, minValue time.Duration) time.Duration {
	v := p.text(key, false)
	if v == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minValue {
		p.faultKey(key, "must be a duration of at least %s, not %q", minValue, v)
		return defaultValue
	}
	return d
}

func (p *parseState) boolean(key string, defaultValue bool) bool {
	v := p.text(key, false)
	if v == "" {
		return defaultValue
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		p.faultKey(key, "must be true or false, not %q", v)
		return defaultValue
	}
	return b
}

// lineIndex maps sections and keys to line numbers, which ini.v1 does not keep.
type lineIndex struct {
	sections    map[string]int
	occurrences map[string]int
	keys        map[string]int
}

func newLineIndex(text []byte) lineIndex {
	x := lineIndex{sections: map[string]int{}, occurrences: map[string]int{}, keys: map[string]int{}}
	scan := bufio.NewScanner(bytes.NewReader(text))
	scan.Buffer(nil, MaxBytes+1)
	section := ""
	for n := 1; scan.Scan(); n++ {
		line := strings.TrimSpace(scan.Text())
		if strings.HasPrefix(line, "[") {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			x.occurrences[section]++
			x.sections[section] = n
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			x.keys[section+"\x00"+strings.TrimSpace(key)] = n
		}
	}
	return x
}

func (x lineIndex) section(name string) int { return max(1, x.sections[name]) }

func (x lineIndex) count(name string) int { return x.occurrences[name] }

func (x lineIndex) key(section, key string) int {
	if n, ok := x.keys[section+"\x00"+key]; ok {
		return n
	}
	return x.section(section)
}
