package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Workload describes traces of one user; Generate draws one from a seed. The
// sizes follow the users' brief: data centres, hosts, engines, delays.
type Workload struct {
	Name           string
	LinkMS         float64
	ClientMS       float64
	DataCentres    []string
	HostCount      int
	Services       []WorkloadService
	CallerCount    int
	HotCallerShare float64 // share of the programs of the one hot caller
	ArrivalSpanMS  float64 // programs arrive within
	BurstFactor    float64 // arrivals are so much denser in the middle third
	Faults         []Line
	Seed           uint64 // seed
}

// WorkloadService is one service with its engines and kinds of programs.
type WorkloadService struct {
	Name        string
	Objective   string
	EngineCount int
	BatchSize   int
	CacheTokens int64
	Kinds       []WorkloadKind
}

// WorkloadKind is a sort of program; pairs are the least and the greatest.
type WorkloadKind struct {
	Name         string
	ProgramCount int
	Turns        [2]int
	PromptTokens [2]int
	OutputTokens [2]int
	PauseMS      [2]float64
	// SubAgentProbability is the chance of one sub-agent, OrderProbability of a last call that must
	// not be repeated, HungToolProbability of one pause of HungMS.
	SubAgentProbability, OrderProbability, HungToolProbability float64
	HungToolMS                                                 float64
}

func draw(r *rand.Rand, p [2]int) int { return p[0] + r.IntN(p[1]-p[0]+1) }

// drawSkewed favours the lower end, as real sizes do.
func drawSkewed(r *rand.Rand, p [2]int) int {
	f := r.Float64()
	return p[0] + int(f*f*float64(p[1]-p[0])+0.5)
}

func drawMS(r *rand.Rand, p [2]float64) float64 {
	f := r.Float64()
	return float64(int(p[0] + f*f*(p[1]-p[0])))
}

// Generate writes a trace of the workload.
func (w Workload) Generate(out io.Writer) error {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	e := json.NewEncoder(out)
	if err := e.Encode(w.header()); err != nil {
		return failure.Wrap(err, failure.Internal, "trace")
	}
	var programs []*Program
	for _, s := range w.Services {
		for _, k := range s.Kinds {
			for i := range k.ProgramCount {
				programs = append(programs, w.program(rng, s, k, fmt.Sprintf("%s-%s-%d", s.Name, k.Name, i))...)
			}
		}
	}
	sort.SliceStable(programs, func(i, j int) bool { return programs[i].AtMS < programs[j].AtMS })
	for _, p := range programs {
		for _, l := range p.Calls {
			if err := e.Encode(l); err != nil {
				return failure.Wrap(err, failure.Internal, "trace")
			}
		}
	}
	for _, f := range w.Faults {
		if err := e.Encode(f); err != nil {
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

// arrival is denser in the middle third of the span.
func (w Workload) arrival(r *rand.Rand) float64 {
	for {
		at := r.Float64() * w.ArrivalSpanMS
		middle := at > w.ArrivalSpanMS/3 && at < 2*w.ArrivalSpanMS/3
		if middle || r.Float64() < 1/max(1, w.BurstFactor) {
			return float64(int(at))
		}
	}
}

func (w Workload) program(r *rand.Rand, s WorkloadService, k WorkloadKind, name string) []*Program {
	caller := fmt.Sprintf("caller-%d", 1+r.IntN(w.CallerCount))
	if r.Float64() < w.HotCallerShare {
		caller = "caller-hot"
	}
	p := &Program{Name: name, AtMS: w.arrival(r)}
	dc := w.DataCentres[r.IntN(len(w.DataCentres))]
	turns := drawSkewed(r, k.Turns)
	hung := -1
	if r.Float64() < k.HungToolProbability {
		hung = r.IntN(turns)
	}
	for i := range turns {
		l := Line{
			Program: name, Caller: caller, DataCentre: dc, Service: s.Name, Sequence: uint32(i),
			PromptTokens: int64(drawSkewed(r, k.PromptTokens)), OutputTokens: int64(drawSkewed(r, k.OutputTokens)), PauseMS: drawMS(r, k.PauseMS),
		}
		if i == 0 {
			l.AtMS = p.AtMS
		}
		if i == hung {
			l.PauseMS = k.HungToolMS
		}
		yes, no := true, false
		l.Idempotent = &yes
		if i == turns-1 {
			l.Last = true
			if r.Float64() < k.OrderProbability {
				l.Idempotent = &no
			}
		}
		p.Calls = append(p.Calls, l)
	}
	all := []*Program{p}
	if r.Float64() < k.SubAgentProbability {
		all = append(all, w.subAgent(r, p, k))
	}
	return all
}

// subAgent is a short program that begins a little after its parent.
func (w Workload) subAgent(r *rand.Rand, parent *Program, k WorkloadKind) *Program {
	p := &Program{Name: parent.Name + "-sub", Parent: parent.Name, AtMS: parent.AtMS + 500}
	first := parent.Calls[0]
	for i := range draw(r, [2]int{2, 4}) {
		yes := true
		l := Line{
			Program: p.Name, Caller: first.Caller, DataCentre: first.DataCentre, Service: first.Service, Sequence: uint32(i),
			PromptTokens: int64(drawSkewed(r, k.PromptTokens)), OutputTokens: int64(drawSkewed(r, k.OutputTokens)), PauseMS: 300, Idempotent: &yes,
		}
		if i == 0 {
			l.AtMS, l.Parent = p.AtMS, parent.Name
		}
		p.Calls = append(p.Calls, l)
	}
	p.Calls[len(p.Calls)-1].Last = true
	return p
}
