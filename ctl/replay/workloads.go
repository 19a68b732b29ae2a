package replay

// Workloads returns the workloads of the two users, each with a low load, a high load and
// faults. The seed determines every random choice.
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

// scaleCount multiplies a number of programs by a load factor; the result is at least 1.
func scaleCount(n int, factor float64) int { return max(1, int(float64(n)*factor)) }

// mizuchi is the workload of leak detection in Hokkaido: many short questions of crews,
// some long conversations of supervisors, a caller with many programs, looping programs
// and hung tools.
func mizuchi(name string, seed uint64, load, burst float64, faults []Line) Workload {
	return Workload{
		Name: name, LinkMS: 1.5, ClientMS: 1, DataCentres: []string{"sapporo-a", "sapporo-b", "asahikawa", "hakodate"}, HostCount: 8,
		CallerCount: 40, HotCallerShare: 0.2, ArrivalSpanMS: 120_000, BurstFactor: burst, Faults: faults, Seed: seed,
		Services: []WorkloadService{
			{Name: "agent-llm", Objective: "latency", EngineCount: 9, BatchSize: 8, CacheTokens: 120_000, Kinds: []WorkloadKind{
				{Name: "crew", ProgramCount: scaleCount(850, load), Turns: [2]int{1, 5}, PromptTokens: [2]int{100, 600}, OutputTokens: [2]int{60, 260}, PauseMS: [2]float64{300, 4000}, OrderProbability: 0.3},
				{Name: "supervisor", ProgramCount: scaleCount(30, load), Turns: [2]int{15, 90}, PromptTokens: [2]int{200, 2500}, OutputTokens: [2]int{120, 600}, PauseMS: [2]float64{500, 8000}, SubAgentProbability: 0.8, HungToolProbability: 0.1, HungToolMS: 60_000},
				{Name: "loop", ProgramCount: scaleCount(4, load), Turns: [2]int{80, 120}, PromptTokens: [2]int{60, 120}, OutputTokens: [2]int{60, 100}, PauseMS: [2]float64{50, 200}},
			}},
			{Name: "crew-app", Objective: "latency", EngineCount: 11, BatchSize: 8, CacheTokens: 120_000, Kinds: []WorkloadKind{
				{Name: "trace", ProgramCount: scaleCount(850, load), Turns: [2]int{2, 8}, PromptTokens: [2]int{200, 1500}, OutputTokens: [2]int{60, 300}, PauseMS: [2]float64{200, 3000}, OrderProbability: 0.2},
				{Name: "sweep", ProgramCount: scaleCount(35, load), Turns: [2]int{15, 80}, PromptTokens: [2]int{300, 1500}, OutputTokens: [2]int{150, 500}, PauseMS: [2]float64{500, 6000}, SubAgentProbability: 0.3},
			}},
		},
	}
}

// muscat is the workload of bookings: quotes, and long funeral orders that reuse their
// context.
func muscat(name string, seed uint64, load, burst float64, faults []Line) Workload {
	return Workload{
		Name: name, LinkMS: 1.5, ClientMS: 3, DataCentres: []string{"seeb", "bawshar", "ruwi", "qurum"}, HostCount: 7,
		CallerCount: 30, HotCallerShare: 0.15, ArrivalSpanMS: 150_000, BurstFactor: burst, Faults: faults, Seed: seed,
		Services: []WorkloadService{
			{Name: "agent-llm", Objective: "cache", EngineCount: 14, BatchSize: 8, CacheTokens: 120_000, Kinds: []WorkloadKind{
				{Name: "quote", ProgramCount: scaleCount(420, load), Turns: [2]int{2, 6}, PromptTokens: [2]int{300, 1500}, OutputTokens: [2]int{150, 500}, PauseMS: [2]float64{500, 8000}, OrderProbability: 0.3},
				{Name: "funeral", ProgramCount: scaleCount(170, load), Turns: [2]int{8, 30}, PromptTokens: [2]int{300, 3000}, OutputTokens: [2]int{150, 500}, PauseMS: [2]float64{1000, 15_000}, OrderProbability: 0.8, SubAgentProbability: 0.2, HungToolProbability: 0.05, HungToolMS: 60_000},
			}},
			{Name: "booking-app", Objective: "cache", EngineCount: 15, BatchSize: 8, CacheTokens: 120_000, Kinds: []WorkloadKind{
				{Name: "booking", ProgramCount: scaleCount(600, load), Turns: [2]int{3, 10}, PromptTokens: [2]int{200, 1500}, OutputTokens: [2]int{80, 350}, PauseMS: [2]float64{300, 5000}, OrderProbability: 0.5},
				{Name: "plan", ProgramCount: scaleCount(90, load), Turns: [2]int{10, 30}, PromptTokens: [2]int{500, 2500}, OutputTokens: [2]int{200, 500}, PauseMS: [2]float64{1000, 10_000}},
				{Name: "loop", ProgramCount: scaleCount(3, load), Turns: [2]int{80, 120}, PromptTokens: [2]int{60, 120}, OutputTokens: [2]int{60, 100}, PauseMS: [2]float64{50, 200}},
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
	{AtMS: 70_000, Fault: FaultDataCentrePartitioned, DataCentre: "hakodate"},
	{AtMS: 80_000, Fault: FaultTargetReturns, Target: "e12"},
	{AtMS: 95_000, Fault: FaultDataCentreHeals, DataCentre: "hakodate"},
	{AtMS: 100_000, Fault: FaultTargetDrains, Target: "e5"},
}

var muscatFaults = []Line{
	{AtMS: 10_000, Fault: FaultTargetFreezes, Target: "e2"},
	{AtMS: 25_000, Fault: FaultHostDies, Host: "h4"},
	{AtMS: 40_000, Fault: FaultTargetReturns, Target: "e2"},
	{AtMS: 45_000, Fault: FaultTargetDrains, Target: "e20"},
	{AtMS: 60_000, Fault: FaultDataCentrePartitioned, DataCentre: "qurum"},
	{AtMS: 80_000, Fault: FaultDataCentreHeals, DataCentre: "qurum"},
	{AtMS: 90_000, Fault: FaultPlatformDown},
	{AtMS: 100_000, Fault: FaultTargetDies, Target: "e10"},
	{AtMS: 120_000, Fault: FaultPlatformUp},
	{AtMS: 125_000, Fault: FaultTargetReturns, Target: "e10"},
	{AtMS: 130_000, Fault: FaultHostReturns, Host: "h4"},
}
