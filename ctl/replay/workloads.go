package replay

// Workloads returns the traces of the two users: each calm, busy, and with
// faults. Everything follows from the seed.
func Workloads(seed uint64) []Workload {
	return []Workload{
		mizuchi("mizuchi-calm", seed, 0.35, 1, nil),
		mizuchi("mizuchi-busy", seed+1, 2, 1.6, nil),
		mizuchi("mizuchi-faults", seed+2, 0.7, 1, mizuchiFaults),
		muscat("muscat-calm", seed+3, 0.35, 1, nil),
		muscat("muscat-busy", seed+4, 1.8, 1.6, nil),
		muscat("muscat-faults", seed+5, 0.7, 1, muscatFaults),
	}
}

func scale(n int, f float64) int { return max(1, int(float64(n)*f)) }

// mizuchi is leak detection in Hokkaido: many short questions of crews, some
// long conversations of supervisors, a hot caller, loops and hung tools.
func mizuchi(name string, seed uint64, load, burst float64, faults []Line) Workload {
	return Workload{
		Name: name, LinkMS: 1.5, ClientMS: 1, Centres: []string{"sapporo-a", "sapporo-b", "asahikawa", "hakodate"}, Hosts: 8,
		Callers: 40, HotShare: 0.2, SpanMS: 120_000, Burst: burst, Faults: faults, DrawnFrom: seed,
		Services: []WorkloadService{
			{Name: "agent-llm", Objective: "latency", Engines: 9, Batch: 8, Cache: 120_000, Kinds: []WorkloadKind{
				{Name: "crew", Programs: scale(850, load), Turns: [2]int{1, 5}, Prompt: [2]int{100, 600}, Output: [2]int{60, 260}, PauseMS: [2]float64{300, 4000}, Orders: 0.3},
				{Name: "supervisor", Programs: scale(30, load), Turns: [2]int{15, 90}, Prompt: [2]int{200, 2500}, Output: [2]int{120, 600}, PauseMS: [2]float64{500, 8000}, SubAgent: 0.8, Hung: 0.1, HungMS: 60_000},
				{Name: "loop", Programs: scale(4, load), Turns: [2]int{80, 120}, Prompt: [2]int{60, 120}, Output: [2]int{60, 100}, PauseMS: [2]float64{50, 200}},
			}},
			{Name: "crew-app", Objective: "latency", Engines: 11, Batch: 8, Cache: 120_000, Kinds: []WorkloadKind{
				{Name: "trace", Programs: scale(850, load), Turns: [2]int{2, 8}, Prompt: [2]int{200, 1500}, Output: [2]int{60, 300}, PauseMS: [2]float64{200, 3000}, Orders: 0.2},
				{Name: "sweep", Programs: scale(35, load), Turns: [2]int{15, 80}, Prompt: [2]int{300, 1500}, Output: [2]int{150, 500}, PauseMS: [2]float64{500, 6000}, SubAgent: 0.3},
			}},
		},
	}
}

// muscat is bookings: quotes, and long funeral orders that reuse their context.
func muscat(name string, seed uint64, load, burst float64, faults []Line) Workload {
	return Workload{
		Name: name, LinkMS: 1.5, ClientMS: 3, Centres: []string{"seeb", "bawshar", "ruwi", "qurum"}, Hosts: 7,
		Callers: 30, HotShare: 0.15, SpanMS: 150_000, Burst: burst, Faults: faults, DrawnFrom: seed,
		Services: []WorkloadService{
			{Name: "agent-llm", Objective: "cache", Engines: 14, Batch: 8, Cache: 120_000, Kinds: []WorkloadKind{
				{Name: "quote", Programs: scale(420, load), Turns: [2]int{2, 6}, Prompt: [2]int{300, 1500}, Output: [2]int{150, 500}, PauseMS: [2]float64{500, 8000}, Orders: 0.3},
				{Name: "funeral", Programs: scale(170, load), Turns: [2]int{8, 30}, Prompt: [2]int{300, 3000}, Output: [2]int{150, 500}, PauseMS: [2]float64{1000, 15_000}, Orders: 0.8, SubAgent: 0.2, Hung: 0.05, HungMS: 60_000},
			}},
			{Name: "booking-app", Objective: "cache", Engines: 15, Batch: 8, Cache: 120_000, Kinds: []WorkloadKind{
				{Name: "booking", Programs: scale(600, load), Turns: [2]int{3, 10}, Prompt: [2]int{200, 1500}, Output: [2]int{80, 350}, PauseMS: [2]float64{300, 5000}, Orders: 0.5},
				{Name: "plan", Programs: scale(90, load), Turns: [2]int{10, 30}, Prompt: [2]int{500, 2500}, Output: [2]int{200, 500}, PauseMS: [2]float64{1000, 10_000}},
				{Name: "loop", Programs: scale(3, load), Turns: [2]int{80, 120}, Prompt: [2]int{60, 120}, Output: [2]int{60, 100}, PauseMS: [2]float64{50, 200}},
			}},
		},
	}
}

var mizuchiFaults = []Line{
	{AtMS: 15_000, Fault: FaultTargetDies, Target: "e3"},
	{AtMS: 20_000, Fault: FaultHostDies, Host: "h1"},
	{AtMS: 30_000, Fault: FaultTargetReturns, Target: "e3"},
	{AtMS: 35_000, Fault: FaultPlatformDown},
	{AtMS: 50_000, Fault: FaultTargetFreezes, Target: "e12"},
	{AtMS: 55_000, Fault: FaultPlatformUp},
	{AtMS: 60_000, Fault: FaultHostReturns, Host: "h1"},
	{AtMS: 70_000, Fault: FaultCentreCut, DataCentre: "hakodate"},
	{AtMS: 80_000, Fault: FaultTargetReturns, Target: "e12"},
	{AtMS: 95_000, Fault: FaultCentreHeals, DataCentre: "hakodate"},
	{AtMS: 100_000, Fault: FaultTargetLeaves, Target: "e5"},
}

var muscatFaults = []Line{
	{AtMS: 10_000, Fault: FaultTargetFreezes, Target: "e2"},
	{AtMS: 25_000, Fault: FaultHostDies, Host: "h4"},
	{AtMS: 40_000, Fault: FaultTargetReturns, Target: "e2"},
	{AtMS: 45_000, Fault: FaultTargetLeaves, Target: "e20"},
	{AtMS: 60_000, Fault: FaultCentreCut, DataCentre: "qurum"},
	{AtMS: 80_000, Fault: FaultCentreHeals, DataCentre: "qurum"},
	{AtMS: 90_000, Fault: FaultPlatformDown},
	{AtMS: 100_000, Fault: FaultTargetDies, Target: "e10"},
	{AtMS: 120_000, Fault: FaultPlatformUp},
	{AtMS: 125_000, Fault: FaultTargetReturns, Target: "e10"},
	{AtMS: 130_000, Fault: FaultHostReturns, Host: "h4"},
}
