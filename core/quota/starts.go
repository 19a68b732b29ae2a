package quota

// startLimiter limits the programs that start by the requests that they are expected to send:
// each start costs as many tokens as a whole program of the customer needs.
type startLimiter struct {
	// tokens are available for program starts; they refill at the rate of the quota.
	tokens float64
	// programs and requests count first requests and all requests granted, with exponential
	// decay.
	programs, requests float64
}

const (
	// countDecay is the factor by which each granted request scales the earlier counts, so
	// that they cover about ten programs.
	countDecay = 0.995
	// initialSize is the number of requests assumed of a program before any are counted. It
	// weighs as much as initialPrograms counted programs.
	initialSize, initialPrograms = 8, 1
	// maxStarts is the number of programs that may start at the same time when the bucket is
	// about to run out. With more, programs would start that the quota cannot complete.
	maxStarts = 1
)

// programSize returns the estimated number of requests of a program.
func (s *startLimiter) programSize() float64 {
	return max(1, (s.requests+initialSize*initialPrograms)/(s.programs+initialPrograms))
}

// refill adds tokens, up to those of maxStarts programs.
func (s *startLimiter) refill(tokens float64) {
	s.tokens = min(s.tokens+tokens, maxStarts*s.programSize())
}

// allows reports whether a program may start.
func (s *startLimiter) allows() bool { return s.tokens >= s.programSize() }

// missingTokens returns the number of tokens still needed before a program may start.
func (s *startLimiter) missingTokens() float64 { return max(0, s.programSize()-s.tokens) }

// record counts a granted request.
func (s *startLimiter) record(firstOfProgram bool) {
	s.programs *= countDecay
	s.requests = s.requests*countDecay + 1
	if !firstOfProgram {
		return
	}
	s.programs++
	s.tokens = max(s.tokens-s.programSize(), -maxStarts*s.programSize())
}
