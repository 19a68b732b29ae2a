package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Header is the first line of a trace. Units are milliseconds and tokens.
type Header struct {
	Trace    string          `json:"trace"`
	LinkMS   float64         `json:"link_ms"`
	ClientMS float64         `json:"client_ms"`
	Services []HeaderService `json:"services"`
	Hosts    []HeaderHost    `json:"hosts"`
	Targets  []HeaderTarget  `json:"targets"`
}

// HeaderService is a service of a trace; its objective is latency or cache.
type HeaderService struct {
	Name      string `json:"name"`
	Objective string `json:"objective"`
}

// HeaderHost is an entry host of a trace.
type HeaderHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
}

// HeaderTarget is an engine of a trace. Prefill and decode are the cost per
// token, batch is how many calls it runs at once.
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

// Line is one call or one fault of a trace.
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

// The faults of a trace.
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

// Program is one agent program of a trace.
type Program struct {
	Name   string
	Parent string
	AtMS   float64
	Calls  []Line
}

// Trace is a whole trace.
type Trace struct {
	Header   Header
	Programs []*Program // in order of their first line
	Faults   []Line     // in order of time
}

// ExpectedOutcome is the outcome that must hold for a trace.
type ExpectedOutcome struct {
	MinCompleted  int `json:"completed_min"`
	MaxNotRun     int `json:"not_run_max"`
	MaxUnknown    int `json:"unknown_max"`
	MaxViolations int `json:"violations"`
}

// Read reads a trace. Its errors name the line.
func Read(r io.Reader) (*Trace, error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	t := &Trace{}
	programs := map[string]*Program{}
	for n := 1; scan.Scan(); n++ {
		if len(bytes.TrimSpace(scan.Bytes())) == 0 {
			continue
		}
		if n == 1 {
			if err := json.Unmarshal(scan.Bytes(), &t.Header); err != nil {
				return nil, failure.New(failure.BadRequest, "line 1: header: %v", err)
			}
			continue
		}
		var l Line
		if err := json.Unmarshal(scan.Bytes(), &l); err != nil {
			return nil, failure.New(failure.BadRequest, "line %d: %v", n, err)
		}
		if err := t.add(l, programs); err != nil {
			return nil, failure.New(failure.BadRequest, "line %d: %s", n, failure.From(err).Detail)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "trace")
	}
	sort.SliceStable(t.Faults, func(i, j int) bool { return t.Faults[i].AtMS < t.Faults[j].AtMS })
	return t, t.check()
}

func (t *Trace) add(l Line, programs map[string]*Program) error {
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
		return failure.New(failure.BadRequest, "program %s: a negative number", l.Program)
	}
	p.Calls = append(p.Calls, l)
	return nil
}

// check verifies what the lines say of each other.
func (t *Trace) check() error {
	h := &t.Header
	services, names, centres := map[string]bool{}, map[string]bool{}, map[string]bool{}
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
		centres[x.DataCentre] = true
	}
	if len(h.Hosts) == 0 || len(h.Targets) == 0 {
		return failure.New(failure.BadRequest, "the header has no hosts or no targets")
	}
	for _, p := range t.Programs {
		for _, c := range p.Calls {
			if !services[c.Service] || !centres[c.DataCentre] {
				return failure.New(failure.BadRequest, "program %s call %d: unknown service %q or data centre %q", p.Name, c.Sequence, c.Service, c.DataCentre)
			}
		}
	}
	for _, f := range t.Faults {
		known := f.Target != "" && names[f.Target] || f.Host != "" && names[f.Host] || f.DataCentre != "" && centres[f.DataCentre] ||
			f.Fault == FaultPlatformDown || f.Fault == FaultPlatformUp
		if !known {
			return failure.New(failure.BadRequest, "fault %s at %g ms names nothing that the header has", f.Fault, f.AtMS)
		}
	}
	return nil
}
