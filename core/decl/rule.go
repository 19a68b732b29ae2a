package decl

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Env holds the variables of a call that conditions can use, by the names in the expr
// tags.
type Env struct {
	Service       string `expr:"service"`
	Caller        string `expr:"caller"`
	DataCentre    string `expr:"data_centre"`
	Sequence      int    `expr:"sequence"`
	PromptTokens  int    `expr:"prompt_tokens"`
	HistoryTokens int    `expr:"history_tokens"`
	MaxTokens     int    `expr:"max_tokens"`
	SpentTokens   int    `expr:"spent_tokens"`
	Idempotent    bool   `expr:"idempotent"`
	SubAgent      bool   `expr:"sub_agent"`
}

// Then is the decision of a rule.
type Then struct {
	// Rule is the name of the rule.
	Rule string
	// Service is the service that the call is routed to; empty keeps the program's own.
	Service string
	// Priority is from 0 (lowest) to 9; the default is DefaultPriority.
	Priority int
	// Deadline limits the time from receipt to answer; 0 means no limit.
	Deadline time.Duration
	// CallsPerSecond limits each caller under this rule; 0 means unlimited.
	CallsPerSecond float64
	// Retries is the maximum number of attempts after the first; -1 keeps the default.
	Retries int
	// Objective overrides the objective of the service; empty means no override.
	Objective Objective
	// Reject is the text with which the call is rejected; empty accepts the call.
	Reject string
}

// DefaultPriority is the priority of a call for which no rule sets one.
const DefaultPriority = 5

// DefaultRetries is the number of retries of an idempotent call for which no rule sets
// one.
const DefaultRetries = 3

// Rule is one when-then pair: an expr-lang condition and the decision for calls that
// match it.
type Rule struct {
	Name string
	When string
	Then Then
	// Line is the line of the rule's section, from 1.
	Line int

	program   *vm.Program
	machine   vm.VM
	always    bool
	conjuncts map[string]bool
}

// Matches evaluates the condition. A condition that fails at run time, which type
// checking makes rare, does not match. Not safe for concurrent use.
func (r *Rule) Matches(env *Env) bool {
	if r.always {
		return true
	}
	out, err := r.machine.Run(r.program, env)
	if err != nil {
		return false
	}
	match, _ := out.(bool)
	return match
}

func newRule(name, when, then string, line int) (*Rule, error) {
	r := &Rule{Name: name, When: strings.TrimSpace(when), Line: line}
	if r.When == "" {
		r.When = "true"
	}
	if err := r.compile(); err != nil {
		return nil, err
	}
	t, err := parseThen(then)
	if err != nil {
		return nil, err
	}
	t.Rule = name
	r.Then = t
	return r, nil
}

func (r *Rule) compile() error {
	program, err := expr.Compile(r.When, expr.Env(&Env{}), expr.AsBool())
	if err != nil {
		return failure.New(failure.InvalidDeclaration, "condition: %s", firstLine(err.Error()))
	}
	tree, err := parser.Parse(r.When)
	if err != nil {
		return failure.New(failure.InvalidDeclaration, "condition: %s", firstLine(err.Error()))
	}
	r.program = program
	r.conjuncts = map[string]bool{}
	collectConjuncts(tree.Node, r.conjuncts)
	delete(r.conjuncts, "true")
	r.always = len(r.conjuncts) == 0
	if r.conjuncts["false"] {
		return failure.New(failure.InvalidDeclaration, "condition is never true")
	}
	return nil
}

// collectConjuncts adds the operands of the top-level "and" of a condition to operands.
func collectConjuncts(n ast.Node, operands map[string]bool) {
	if b, ok := n.(*ast.BinaryNode); ok && (b.Operator == "&&" || b.Operator == "and") {
		collectConjuncts(b.Left, operands)
		collectConjuncts(b.Right, operands)
		return
	}
	operands[n.String()] = true
}

// shadows reports whether r matches every call that other matches. It compares only the
// operands of the top-level "and", so it can miss a shadowed rule.
func (r *Rule) shadows(other *Rule) bool {
	for c := range r.conjuncts {
		if !other.conjuncts[c] {
			return false
		}
	}
	return true
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// thenActions holds the parser of each action of a then clause, by its name.
var thenActions = map[string]func(t *Then, v string) error{
	"route":     func(t *Then, v string) error { t.Service = v; return nil },
	"reject":    func(t *Then, v string) error { t.Reject = v; return nil },
	"objective": func(t *Then, v string) (err error) { t.Objective, err = parseObjective(v); return err },
	"priority": func(t *Then, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > 9 {
			return failure.New(failure.InvalidDeclaration, "priority must be a number from 0 to 9, not %q", v)
		}
		t.Priority = n
		return nil
	},
	"deadline": func(t *Then, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return failure.New(failure.InvalidDeclaration, "deadline must be a positive duration, not %q", v)
		}
		t.Deadline = d
		return nil
	},
	"limit": func(t *Then, v string) error {
		f, err := strconv.ParseFloat(strings.TrimSuffix(v, "/s"), 64)
		if err != nil || f <= 0 {
			return failure.New(failure.InvalidDeclaration, "limit must be a positive number of calls per second, not %q", v)
		}
		t.CallsPerSecond = f
		return nil
	},
	"retry": func(t *Then, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > 10 {
			return failure.New(failure.InvalidDeclaration, "retry must be a number from 0 to 10, not %q", v)
		}
		t.Retries = n
		return nil
	},
}

func parseThen(text string) (Then, error) {
	t := Then{Priority: DefaultPriority, Retries: -1}
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		key, value, _ := strings.Cut(part, " ")
		set, ok := thenActions[key]
		if !ok {
			return t, failure.New(failure.InvalidDeclaration, "unknown action %q; valid actions are %s", key, strings.Join(thenActionNames(), ", "))
		}
		value = strings.TrimSpace(value)
		if value == "" {
			return t, failure.New(failure.InvalidDeclaration, "action %q needs a value", key)
		}
		if err := set(&t, value); err != nil {
			return t, err
		}
	}
	return t, nil
}

func thenActionNames() []string {
	var keys []string
	for k := range thenActions {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func parseObjective(v string) (Objective, error) {
	switch o := Objective(v); o {
	case Latency, Cache:
		return o, nil
	}
	return "", failure.New(failure.InvalidDeclaration, "objective must be latency or cache, not %q", v)
}
