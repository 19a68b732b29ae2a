package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// maxLineBytes bounds the length of a line of a trace.
const maxLineBytes = 1 << 20

// Header is the first line of a trace. Durations are in milliseconds, sizes in tokens.
type Header struct {
	Trace    string          `json:"trace"`
	LinkMS   float64         `json:"link_ms"`   // one-way delay between data centres
	ClientMS float64         `json:"client_ms"` // one-way delay between callers and entry hosts
	Services []HeaderService `json:"services"`
	Hosts    []HeaderHost    `json:"hosts"`
	Targets  []HeaderTarget  `json:"targets"`
}

// HeaderService is a service of a trace. Its objective is "latency" (also if empty) or
// "cache".
type HeaderService struct {
	Name      string `json:"name"`
	Objective string `json:"objective"`
}

// HeaderHost is an entry host of a trace.
type HeaderHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
}

// HeaderTarget is an engine of a trace. PrefillMS and DecodeMS are durations per token,
// BatchSize is the number of calls that run at once, and ReportLagMS is the age of load
// reports.
type HeaderTarget struct {
	Name        string  `json:"name"`
	Service     string  `json:"service"`
	DataCentre  string  `json:"data_centre"`
	BatchSize   int     `json:"batch"`
	CacheTokens int64   `json:"cache_tokens"`
	PrefillMS   float64 `json:"prefill_ms"`
	DecodeMS    float64 `json:"decode_ms"`
	ReportLagMS float64 `json:"report_lag_ms"`
}

// Line is one call or one fault of a trace. AtMS is the time of a fault, or of a program's
// start on its first call; Parent is read from the first call. PauseMS is the time between
// a call's answer and the next call, and Last ends the program. A call without Idempotent
// is idempotent.
type Line struct {
	AtMS         float64 `json:"at_ms,omitempty"`
	Program      string  `json:"program,omitempty"`
	Parent       string  `json:"parent,omitempty"`
	Caller       string  `json:"caller,omitempty"`
	DataCentre   string  `json:"data_centre,omitempty"`
	Service      string  `json:"service,omitempty"`
	Sequence     uint32  `json:"sequence"`
	PromptTokens int64   `json:"prompt_tokens,omitempty"`
	OutputTokens int64   `json:"output_tokens,omitempty"`
	Idempotent   *bool   `json:"idempotent,omitempty"`
	PauseMS      float64 `json:"pause_ms,omitempty"`
	Last         bool    `json:"last,omitempty"`

	Fault  string `json:"fault,omitempty"`
	Target string `json:"target,omitempty"`
	Host   string `json:"host,omitempty"`
}

// Values of Line.Fault.
const (
	FaultTargetDies            = "target_dies"
	FaultTargetReturns         = "target_returns"
	FaultTargetFreezes         = "target_freezes"
	FaultTargetDrains          = "target_leaves"
	FaultHostDies              = "host_dies"
	FaultHostReturns           = "host_returns"
	FaultDataCentrePartitioned = "data_centre_cut"
	FaultDataCentreHeals       = "data_centre_heals"
	FaultPlatformDown          = "platform_down"
	FaultPlatformUp            = "platform_up"
)

// Program is one agent program of a trace, with its calls in order. AtMS is the time of
// its start; Parent is the name of a sub-agent's parent program.
type Program struct {
	Name   string
	Parent string
	AtMS   float64
	Calls  []Line
}

// Trace is a complete trace.
type Trace struct {
	Header   Header
	Programs []*Program // in order of their first lines
	Faults   []Line     // in order of time
}

// ExpectedOutcome bounds the result of a trace's replay (FILE.want.json).
type ExpectedOutcome struct {
	MinCompleted  int `json:"completed_min"`
	MaxNotRun     int `json:"not_run_max"`
	MaxUnknown    int `json:"unknown_max"`
	MaxViolations int `json:"violations"`
}

// Read reads and validates a trace (JSON lines). Its failures are of kind BadRequest; those
// of a single line state its number.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	t := &Trace{}
	programs := map[string]*Program{}
	for n := 1; scanner.Scan(); n++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		if n == 1 {
			if err := json.Unmarshal(scanner.Bytes(), &t.Header); err != nil {
				return nil, failure.New(failure.BadRequest, "line 1: header: %v", err)
			}
			continue
		}
		var l Line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, failure.New(failure.BadRequest, "line %d: %v", n, err)
		}
		if err := t.addLine(l, programs); err != nil {
			return nil, failure.New(failure.BadRequest, "line %d: %s", n, failure.From(err).Detail)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "trace")
	}
	sort.SliceStable(t.Faults, func(i, j int) bool { return t.Faults[i].AtMS < t.Faults[j].AtMS })
	return t, t.validate()
}

// addLine adds a call or fault; programs are the programs so far by name.
func (t *Trace) addLine(l Line, programs map[string]*Program) error {
	if l.Fault != "" {
		t.Faults = append(t.Faults, l)
		return nil
	}
	if l.Program == "" {
		return failure.New(failure.BadRequest, "neither a call nor a fault")
	}
	p := programs[l.Program]
	if p == nil {
		p = &Program{Name: l.Program, Parent: l.Parent, AtMS: l.AtMS}
		programs[l.Program] = p
		t.Programs = append(t.Programs, p)
	}
	if int(l.Sequence) != len(p.Calls) {
		return failure.New(failure.BadRequest, "program %s: sequence %d does not follow", l.Program, l.Sequence)
	}
	if l.PromptTokens < 0 || l.OutputTokens < 0 || l.PauseMS < 0 || l.AtMS < 0 {
		return failure.New(failure.BadRequest, "program %s: negative number", l.Program)
	}
	p.Calls = append(p.Calls, l)
	return nil
}

// validate checks the references between lines.
func (t *Trace) validate() error {
	h := &t.Header
	services, names, dataCentres := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, s := range h.Services {
		services[s.Name] = true
	}
	for _, x := range h.Targets {
		names[x.Name] = true
		if !services[x.Service] {
			return failure.New(failure.BadRequest, "target %s: unknown service %q", x.Name, x.Service)
		}
	}
	for _, x := range h.Hosts {
		names[x.Name] = true
		dataCentres[x.DataCentre] = true
	}
	if len(h.Hosts) == 0 || len(h.Targets) == 0 {
		return failure.New(failure.BadRequest, "header has no hosts or no targets")
	}
	for _, p := range t.Programs {
		for _, c := range p.Calls {
			if !services[c.Service] || !dataCentres[c.DataCentre] {
				return failure.New(failure.BadRequest, "program %s call %d: unknown service %q or data centre %q", p.Name, c.Sequence, c.Service, c.DataCentre)
			}
		}
	}
	for _, f := range t.Faults {
		known := f.Target != "" && names[f.Target] || f.Host != "" && names[f.Host] || f.DataCentre != "" && dataCentres[f.DataCentre] ||
			f.Fault == FaultPlatformDown || f.Fault == FaultPlatformUp
		if !known {
			return failure.New(failure.BadRequest, "fault %s at %g ms refers to no target, host or data centre of the header", f.Fault, f.AtMS)
		}
	}
	return nil
}
