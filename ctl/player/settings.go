package player

import (
	"strings"

	"gopkg.in/ini.v1"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Fleet describes the hosts, targets and callers of a run. In an INI file its fields are the
// keys of [fleet]; Engines and Plain have the sections [engines] and [plain], each class and
// each tool a section [class "NAME"] or [tool "NAME"]. Fields that end in Ms are in
// milliseconds.
type Fleet struct {
	DataCentres []string `ini:"centres"`
	Hosts       int      // entry hosts, in turn over the data centres
	// EngineDataCentres are the data centres of the engines, in turn; empty: DataCentres.
	EngineDataCentres []string `ini:"engine_centres"`
	// LinkDelayMs is the one-way delay between data centres.
	LinkDelayMs float64 `ini:"link_ms"`
	// ClientDelayMs is the one-way delay between callers and hosts.
	ClientDelayMs float64 `ini:"client_ms"`
	// HistoryReadMs is the wait for history hosts before a turn.
	HistoryReadMs float64 `ini:"begin_ms"`
	// RetainMs is the wait for history hosts after a retained turn.
	RetainMs float64 `ini:"keep_ms"`
	// IdleTimeoutMs is how long a target keeps an idle connection.
	IdleTimeoutMs float64 `ini:"idle_ms"`
	Engines       EngineSettings
	Plain         PlainSettings
	Classes       []*Class
	Tools         []*Tool
	// ProgramsPerS is the usual load: programs that start each second.
	ProgramsPerS float64
	// NoiseShare is the share of targets that are slowed down at any time, and report it in
	// their load reports; 0: none are, and load reports carry no slowdown.
	NoiseShare float64
	// NoiseFactor is how many times longer work takes on a slowed target.
	NoiseFactor float64 `ini:"noise_x"`
	// NoiseDurationMs is the mean duration of a slowdown.
	NoiseDurationMs float64 `ini:"noise_ms"`
	// LoadReportIntervalMs is the interval at which hosts get the load reports of the targets
	// of their data centre, in addition to those in answers to their own requests; those of
	// other targets arrive less often (broadcastLoadReports). 0: never.
	LoadReportIntervalMs float64 `ini:"words_ms"`
}

// EngineSettings describes the engines; the model is in engine.go.
type EngineSettings struct {
	Count    int
	Capacity int `ini:"places"` // requests in a batch
	MaxQueue int `ini:"queue"`  // requests that wait; more are refused
	// StepMs is the duration of a step with one request in the batch; each further request
	// adds StepGrowth times StepMs.
	StepMs, StepGrowth float64
	// ContextMsPerKTokens is what a step takes longer for each thousand tokens of its batch.
	ContextMsPerKTokens float64 `ini:"context_ms_per_k"`
	// AttentionMsPerMPairs is what a step takes longer for each million pairs of a token in
	// prefill and a token before it.
	AttentionMsPerMPairs float64 `ini:"pairs_ms_per_m"`
	// PrefillChunkTokens bounds the prompt tokens that a step processes.
	PrefillChunkTokens int     `ini:"chunk"`
	PrefillTokensPerMs float64 `ini:"read_per_ms"`
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int `ini:"memory"`
	// TokensPerEvent is the number of output tokens in an event of an answer.
	TokensPerEvent int
	// SlowdownSpread is the largest random deviation of an engine's slowdown, as a share.
	SlowdownSpread float64 `ini:"speed_spread"`
	// Slowdowns are how many times slower than usual engines are, in turn; empty: 1.
	Slowdowns []float64 `ini:"speeds"`
}

// PlainSettings describes the targets of the plain service.
type PlainSettings struct {
	Count    int
	Capacity int `ini:"places"` // requests that run at once
	MaxQueue int `ini:"queue"`  // requests that wait; more are refused
	// SlowdownSpread is the largest random deviation of a target's slowdown, as a share.
	SlowdownSpread float64 `ini:"speed_spread"`
	// Slowdowns are how many times slower than usual targets are, in turn; empty: 1.
	Slowdowns []float64 `ini:"speeds"`
}

// Class describes one kind of program.
type Class struct {
	Name string
	// Share is the class's share of all programs.
	Share float64
	// MeanTurns is the mean number of turns of a program.
	MeanTurns float64 `ini:"turns"`
	// SubAgentShare is the share of turns after which a sub-agent runs SubTurns turns in
	// parallel with the tools.
	SubAgentShare float64 `ini:"sub_agents"`
	SubTurns      int
	// SharedPrefixTokens is the length of the prefix that starts every prompt, one of
	// Subjects different ones.
	SharedPrefixTokens int `ini:"shared_tokens"`
	Subjects           int
	// MeanInputTokens and MeanOutputTokens are the means of a turn.
	MeanInputTokens  float64 `ini:"input"`
	MeanOutputTokens float64 `ini:"output"`
	Retained         bool    // turns are stored by history hosts
	// ObjectiveFactor times the program's time on idle targets, plus ObjectiveAllowanceMs, is
	// a program's latency objective.
	ObjectiveFactor      float64 `ini:"aim_factor"`
	ObjectiveAllowanceMs float64 `ini:"objective_ms"`
	DeadlineMs           float64 // timeout of a caller for one turn, retries included
	MaxAttempts          int     `ini:"attempts"` // targets that a host tries for one turn
	MaxRetries           int     `ini:"retries"`  // of a caller, after answers with notRun
}

// Tool describes one kind of call between turns, to a plain target.
type Tool struct {
	Name       string
	MeanWorkMs float64 `ini:"work_ms"` // exponentially distributed
	MaxWorkMs  float64 `ini:"most_ms"`
	DeadlineMs float64 // timeout of a caller for the call
	Idempotent bool
}

// Pattern is a load over time, with disturbances.
type Pattern struct {
	Name string
	// ArrivalSeconds is how long new programs start.
	ArrivalSeconds float64 `ini:"seconds"`
	Phases         []Phase
}

// Kinds of phases.
const (
	PhaseBurst            = "burst"        // Value times the load of Class, or of all
	PhaseSlowEngines      = "slow_engines" // Count engines are Value times slower
	PhaseSlowPlainTargets = "slow_plain"   // Count plain targets are Value times slower
	PhasePartition        = "cut"          // the network of DataCentre is partitioned from the others
	PhaseDrainEngines     = "leave"        // Count engines and a Share of all drain, and return
	PhaseCallersLeave     = "give_up"      // a Share of callers leaves Value ms after the start of its program
	PhaseHotSubject       = "hot"          // a Share of programs has the same subject
	PhaseEndlessPrograms  = "endless"      // a Share of programs never ends
	PhaseSkewedCallers    = "lean"         // a Share of programs starts in DataCentre
	PhaseHostRestarts     = "restarts"     // hosts restart one after the other, Value s apart
)

// Phase is a change of load or a disturbance from one time to another.
type Phase struct {
	Name       string
	Kind       string  // one of the constants above; fields that it does not use are 0
	From, To   float64 // seconds
	Value      float64 `ini:"x"` // unit by Kind
	Share      float64
	Count      int
	Class      string
	DataCentre string
}

// loadINI parses an INI file; errors are of kind Usage.
func loadINI(path string) (*ini.File, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Usage, "read INI file %s", path)
	}
	return f, nil
}

// splitSectionName splits the name of a section of the form: kind "name".
func splitSectionName(section string) (kind, name string) {
	kind, name, _ = strings.Cut(section, " ")
	return kind, strings.Trim(name, `"`)
}

// mapTo sets the fields of into from the keys of a section, and returns an error of kind Usage
// for a value that does not parse. Keys without a field are ignored.
func mapTo(section *ini.Section, into any, path string) error {
	if err := section.StrictMapTo(into); err != nil {
		return failure.Wrap(err, failure.Usage, "file %s, section %s", path, section.Name())
	}
	return nil
}

// ReadFleet reads a fleet from an INI file. Errors are of kind Usage: the file cannot be read,
// has an unknown section or a value that does not parse, or lacks a required key.
func ReadFleet(path string) (*Fleet, error) {
	file, err := loadINI(path)
	if err != nil {
		return nil, err
	}
	file.NameMapper = ini.TitleUnderscore
	fleet := &Fleet{}
	for _, section := range file.Sections() {
		kind, name := splitSectionName(section.Name())
		var into any
		switch kind {
		case ini.DefaultSection:
			continue
		case "fleet":
			into = fleet
		case "engines":
			into = &fleet.Engines
		case "plain":
			into = &fleet.Plain
		case "class":
			c := &Class{Name: name}
			fleet.Classes = append(fleet.Classes, c)
			into = c
		case "tool":
			t := &Tool{Name: name}
			fleet.Tools = append(fleet.Tools, t)
			into = t
		default:
			return nil, failure.New(failure.Usage, "file %s: unknown section %q", path, section.Name())
		}
		if err := mapTo(section, into, path); err != nil {
			return nil, err
		}
	}
	return fleet, fleet.validate(path)
}

// validate returns an error of kind Usage if a key without which a run cannot work is missing
// or not positive.
func (fleet *Fleet) validate(path string) error {
	switch {
	case len(fleet.DataCentres) == 0 || fleet.Hosts < 1:
		return failure.New(failure.Usage, "file %s: [fleet] needs centres, and hosts above 0", path)
	case fleet.Engines.Count < 1 || fleet.Engines.Capacity < 1 || fleet.Engines.StepMs <= 0 || fleet.Engines.PrefillTokensPerMs <= 0 || fleet.Engines.PrefillChunkTokens < 1 || fleet.Engines.TokensPerEvent < 1:
		return failure.New(failure.Usage, "file %s: [engines] needs count, places, step_ms, read_per_ms, chunk and tokens_per_event above 0", path)
	case fleet.Plain.Count < 1 || fleet.Plain.Capacity < 1 || len(fleet.Tools) == 0:
		return failure.New(failure.Usage, "file %s: [plain] needs count and places above 0, and there must be a section [tool \"NAME\"]", path)
	case len(fleet.Classes) == 0 || fleet.ProgramsPerS <= 0:
		return failure.New(failure.Usage, "file %s: [fleet] needs programs_per_s above 0, and there must be a section [class \"NAME\"]", path)
	}
	return nil
}

// ReadPattern reads a pattern from an INI file with a section [pattern] and a section
// [phase "NAME"] for each phase. Errors are of kind Usage, as those of ReadFleet.
func ReadPattern(path string) (*Pattern, error) {
	file, err := loadINI(path)
	if err != nil {
		return nil, err
	}
	file.NameMapper = ini.TitleUnderscore
	pattern := &Pattern{}
	for _, section := range file.Sections() {
		kind, name := splitSectionName(section.Name())
		switch kind {
		case ini.DefaultSection:
		case "pattern":
			if err := mapTo(section, pattern, path); err != nil {
				return nil, err
			}
		case "phase":
			phase := Phase{Name: name}
			if err := mapTo(section, &phase, path); err != nil {
				return nil, err
			}
			pattern.Phases = append(pattern.Phases, phase)
		default:
			return nil, failure.New(failure.Usage, "file %s: unknown section %q", path, section.Name())
		}
	}
	if pattern.ArrivalSeconds <= 0 {
		return nil, failure.New(failure.Usage, "file %s: [pattern] needs seconds above 0", path)
	}
	return pattern, nil
}

// ScaleBursts multiplies the load factor of all bursts.
func (pattern *Pattern) ScaleBursts(factor float64) {
	for i := range pattern.Phases {
		if pattern.Phases[i].Kind == PhaseBurst {
			pattern.Phases[i].Value *= factor
		}
	}
}
