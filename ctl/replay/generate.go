package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Workload describes the random traces of one user; Generate generates the one of Seed.
// The numbers of data centres, hosts and engines and the delays are those that the users
// stated.
type Workload struct {
	Name           string
	LinkMS         float64
	ClientMS       float64
	DataCentres    []string
	HostCount      int
	Services       []WorkloadService
	CallerCount    int
	HotCallerShare float64 // share of the programs that belong to caller-hot
	ArrivalSpanMS  float64 // time within which programs start
	BurstFactor    float64 // arrival rate in the middle third of the span, relative to the rest
	Faults         []Line
	Seed           uint64 // of all random choices
}

// WorkloadService is one service with its engines and kinds of programs. BatchSize and
// CacheTokens are those of each engine.
type WorkloadService struct {
	Name        string
	Objective   string
	EngineCount int
	BatchSize   int
	CacheTokens int64
	Kinds       []WorkloadKind
}

// WorkloadKind is one kind of program. Pairs are a minimum and a maximum; tokens and
// pauses are those of one call.
type WorkloadKind struct {
	Name         string
	ProgramCount int
	Turns        [2]int
	PromptTokens [2]int
	OutputTokens [2]int
	PauseMS      [2]float64
	// SubAgentProbability is the probability of one sub-agent, OrderProbability that of a
	// last call that is not idempotent, HungToolProbability that of one pause of
	// HungToolMS.
	SubAgentProbability, OrderProbability, HungToolProbability float64
	HungToolMS                                                 float64
}

// drawUniform draws from a range with equal probabilities.
func drawUniform(rng *rand.Rand, bounds [2]int) int {
	return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1)
}

// drawSkewed draws from a range and favours its lower end, as real sizes do.
func drawSkewed(rng *rand.Rand, bounds [2]int) int {
	f := rng.Float64()
	return bounds[0] + int(f*f*float64(bounds[1]-bounds[0])+0.5)
}

// drawSkewedMS is drawSkewed for whole milliseconds.
func drawSkewedMS(rng *rand.Rand, bounds [2]float64) float64 {
	f := rng.Float64()
	return float64(int(bounds[0] + f*f*(bounds[1]-bounds[0])))
}

// Generate writes the trace of the workload (JSON lines). The same workload always gives
// the same bytes.
func (w Workload) Generate(out io.Writer) error {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	encoder := json.NewEncoder(out)
	if err := encoder.Encode(w.header()); err != nil {
		return failure.Wrap(err, failure.Internal, "trace")
	}
	var programs []*Program
	for _, s := range w.Services {
		for _, k := range s.Kinds {
			for i := range k.ProgramCount {
				programs = append(programs, w.drawProgram(rng, s, k, fmt.Sprintf("%s-%s-%d", s.Name, k.Name, i))...)
			}
		}
	}
	sort.SliceStable(programs, func(i, j int) bool { return programs[i].AtMS < programs[j].AtMS })
	for _, p := range programs {
		for _, l := range p.Calls {
			if err := encoder.Encode(l); err != nil {
				return failure.Wrap(err, failure.Internal, "trace")
			}
		}
	}
	for _, f := range w.Faults {
		if err := encoder.Encode(f); err != nil {
			return failure.Wrap(err, failure.Internal, "trace")
		}
	}
	return nil
}

func (w Workload) header() Header {
	h := Header{Trace: w.Name, LinkMS: w.LinkMS, ClientMS: w.ClientMS}
	for i := range w.HostCount {
		h.Hosts = append(h.Hosts, HeaderHost{Name: fmt.Sprintf("h%d", i+1), DataCentre: w.DataCentres[i%len(w.DataCentres)]})
	}
	n := 0
	for _, s := range w.Services {
		h.Services = append(h.Services, HeaderService{Name: s.Name, Objective: s.Objective})
		for range s.EngineCount {
			n++
			h.Targets = append(h.Targets, HeaderTarget{
				Name: fmt.Sprintf("e%d", n), Service: s.Name, DataCentre: w.DataCentres[n%len(w.DataCentres)], BatchSize: s.BatchSize, CacheTokens: s.CacheTokens,
				PrefillMS: 0.05, DecodeMS: 8, ReportLagMS: 500,
			})
		}
	}
	return h
}

// drawArrival draws a program's start in milliseconds; the rate is higher in the middle
// third of the span.
func (w Workload) drawArrival(rng *rand.Rand) float64 {
	for {
		at := rng.Float64() * w.ArrivalSpanMS
		inMiddle := at > w.ArrivalSpanMS/3 && at < 2*w.ArrivalSpanMS/3
		if inMiddle || rng.Float64() < 1/max(1, w.BurstFactor) {
			return float64(int(at))
		}
	}
}

// drawProgram draws a program and, after it in the result, its sub-agent if it has one.
func (w Workload) drawProgram(rng *rand.Rand, s WorkloadService, k WorkloadKind, name string) []*Program {
	caller := fmt.Sprintf("caller-%d", 1+rng.IntN(w.CallerCount))
	if rng.Float64() < w.HotCallerShare {
		caller = "caller-hot"
	}
	p := &Program{Name: name, AtMS: w.drawArrival(rng)}
	dc := w.DataCentres[rng.IntN(len(w.DataCentres))]
	turns := drawSkewed(rng, k.Turns)
	hungTurn := -1
	if rng.Float64() < k.HungToolProbability {
		hungTurn = rng.IntN(turns)
	}
	for i := range turns {
		l := Line{
			Program: name, Caller: caller, DataCentre: dc, Service: s.Name, Sequence: uint32(i),
			PromptTokens: int64(drawSkewed(rng, k.PromptTokens)), OutputTokens: int64(drawSkewed(rng, k.OutputTokens)), PauseMS: drawSkewedMS(rng, k.PauseMS),
		}
		if i == 0 {
			l.AtMS = p.AtMS
		}
		if i == hungTurn {
			l.PauseMS = k.HungToolMS
		}
		idempotent, notIdempotent := true, false
		l.Idempotent = &idempotent
		if i == turns-1 {
			l.Last = true
			if rng.Float64() < k.OrderProbability {
				l.Idempotent = &notIdempotent
			}
		}
		p.Calls = append(p.Calls, l)
	}
	programs := []*Program{p}
	if rng.Float64() < k.SubAgentProbability {
		programs = append(programs, w.drawSubAgent(rng, p, k))
	}
	return programs
}

// drawSubAgent draws a program of 2 to 4 calls that starts 500 ms after its parent.
func (w Workload) drawSubAgent(rng *rand.Rand, parent *Program, k WorkloadKind) *Program {
	p := &Program{Name: parent.Name + "-sub", Parent: parent.Name, AtMS: parent.AtMS + 500}
	first := parent.Calls[0]
	for i := range drawUniform(rng, [2]int{2, 4}) {
		idempotent := true
		l := Line{
			Program: p.Name, Caller: first.Caller, DataCentre: first.DataCentre, Service: first.Service, Sequence: uint32(i),
			PromptTokens: int64(drawSkewed(rng, k.PromptTokens)), OutputTokens: int64(drawSkewed(rng, k.OutputTokens)), PauseMS: 300, Idempotent: &idempotent,
		}
		if i == 0 {
			l.AtMS, l.Parent = p.AtMS, parent.Name
		}
		p.Calls = append(p.Calls, l)
	}
	p.Calls[len(p.Calls)-1].Last = true
	return p
}
