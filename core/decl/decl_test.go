package decl

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validDeclaration = `[service "llm"]
objective = cache
[service "orders"]
kind = plain
[target "e1"]
service = llm
data_centre = seeb
url = http://127.0.0.1:1
models = a, b
[caller "desk"]
token_sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
[rule "long"]
when = caller == "desk" && history_tokens > 1000
then = priority 2, deadline 30s, limit 10/s, retry 1, objective latency
[rule "orders"]
when = service == "orders"
then = reject no orders today
[rule "all"]
then = priority 5
`

func TestParseValidDeclaration(t *testing.T) {
	set, err := Parse("f", []byte(validDeclaration))
	require.NoError(t, err)
	assert.Equal(t, []string{"a", "b"}, set.Targets["e1"].Models)
	assert.True(t, set.Targets["e1"].ChecksFencing)
	assert.Equal(t, Cache, set.Services["llm"].Objective)
	c, ok := set.CallerByToken(set.Callers["desk"].TokenSHA256)
	require.True(t, ok)
	assert.Equal(t, "desk", c.Name)
}

func TestRouteUsesFirstMatchingRule(t *testing.T) {
	set, err := Parse("f", []byte(validDeclaration))
	require.NoError(t, err)
	for name, c := range map[string]struct {
		env  Env
		rule string
	}{
		"first":  {Env{Caller: "desk", HistoryTokens: 2000, Service: "orders"}, "long"},
		"second": {Env{Caller: "desk", HistoryTokens: 10, Service: "orders"}, "orders"},
		"last":   {Env{Caller: "crew", Service: "llm"}, "all"},
	} {
		then, ok := set.Route(&c.env)
		assert.True(t, ok, name)
		assert.Equal(t, c.rule, then.Rule, name)
	}
	then, _ := set.Route(&Env{Caller: "desk", HistoryTokens: 2000})
	assert.Equal(t, Then{Rule: "long", Priority: 2, Deadline: 30 * time.Second, CallsPerSecond: 10, Retries: 1, Objective: Latency}, then)
}

// Each case has the line of the first fault and a part of its reason.
func TestParseReportsLineAndReason(t *testing.T) {
	base := "[service \"s\"]\n" // line 1; each case starts on line 2
	for name, c := range map[string]struct {
		text   string
		line   int
		reason string
	}{
		"unknown section":    {"[servise \"x\"]", 2, "unknown section"},
		"missing name":       {"[target]", 2, "needs a name"},
		"duplicate section":  {"[service \"s\"]", 2, "declared twice"},
		"unknown key":        {"[service \"t\"]\ncolour = red", 3, "unknown key"},
		"invalid number":     {"[service \"t\"]\nqueue_limit = many", 3, "whole number"},
		"invalid duration":   {"[service \"t\"]\ntimeout = 5 parsecs", 3, "duration"},
		"invalid choice":     {"[service \"t\"]\nkind = steam", 3, "engine or plain"},
		"invalid bool":       {"[target \"t\"]\nservice = s\ndata_centre = d\nurl = http://x\nleaving = perhaps", 6, "true or false"},
		"missing key":        {"[target \"t\"]\nservice = s\nurl = http://x", 2, "data_centre"},
		"unknown service":    {"[target \"t\"]\nservice = z\ndata_centre = d\nurl = http://x", 3, "unknown service"},
		"invalid URL":        {"[target \"t\"]\nservice = s\ndata_centre = d\nurl = ftp://x", 5, "http"},
		"short token digest": {"[caller \"c\"]\ntoken_sha256 = 12", 3, "64 hex"},
		"type error":         {"[rule \"r\"]\nwhen = sequence == \"one\"\nthen = priority 1", 2, "condition"},
		"not a condition":    {"[rule \"r\"]\nwhen = sequence + 1\nthen = priority 1", 2, "condition"},
		"unknown field":      {"[rule \"r\"]\nwhen = moon > 1\nthen = priority 1", 2, "moon"},
		"never true":         {"[rule \"r\"]\nwhen = false\nthen = priority 1", 2, "never true"},
		"unknown action":     {"[rule \"r\"]\nthen = dance wildly", 2, "unknown action"},
		"missing value":      {"[rule \"r\"]\nthen = priority", 2, "needs a value"},
		"invalid priority":   {"[rule \"r\"]\nthen = priority 11", 2, "0 to 9"},
		"route to unknown":   {"[rule \"r\"]\nthen = route z", 2, "unknown service"},
		"after a catch-all":  {"[rule \"a\"]\nthen = priority 1\n[rule \"b\"]\nthen = priority 2", 4, "never match"},
		"same condition":     {"[rule \"a\"]\nwhen = sequence > 1\nthen = priority 1\n[rule \"b\"]\nwhen = sequence  >  1\nthen = priority 2", 5, "never match"},
		"narrower condition": {"[rule \"a\"]\nwhen = sequence > 1\nthen = priority 1\n[rule \"b\"]\nwhen = idempotent && sequence > 1\nthen = priority 2", 5, "never match"},
		"not INI":            {"what is this", 1, "not INI"},
	} {
		_, err := Parse("f.ini", []byte(base+c.text+"\n"))
		var faults Faults
		if !assert.ErrorAs(t, err, &faults, name) {
			continue
		}
		assert.Equal(t, c.line, faults[0].Line, "%s: %v", name, faults)
		assert.Contains(t, faults[0].Reason, c.reason, name)
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse("f", []byte("[service \"a\"]\nkind = x\nqueue_limit = y\n[rule \"r\"]\nthen = priority 99\n"))
	var faults Faults
	require.ErrorAs(t, err, &faults)
	assert.Len(t, faults, 3)
}

func FuzzParse(f *testing.F) {
	f.Add(validDeclaration)
	f.Add("[rule \"r\"]\nwhen = a && (b ||\nthen = priority 1")
	f.Add("[service \"a\"")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := Parse("f", []byte(text))
		if err != nil {
			return
		}
		then, _ := set.Route(&Env{Service: "llm", Caller: "c"})
		if then.Priority < 0 || then.Priority > 9 {
			t.Fatal("priority out of range")
		}
	})
}

func benchmarkRoute(b *testing.B, rules int) {
	var text strings.Builder
	text.WriteString("[service \"llm\"]\n")
	for i := range rules {
		text.WriteString("[rule \"r" + strings.Repeat("i", i+1) + "\"]\nwhen = caller == \"c" + strings.Repeat("i", i+1) + "\" && history_tokens > 10\nthen = priority 3\n")
	}
	set, err := Parse("f", []byte(text.String()))
	require.NoError(b, err)
	env := &Env{Service: "llm", Caller: "nobody", HistoryTokens: 20}
	b.ReportAllocs()
	for b.Loop() {
		set.Route(env)
	}
}

func BenchmarkRoute10(b *testing.B)   { benchmarkRoute(b, 10) }
func BenchmarkRoute100(b *testing.B)  { benchmarkRoute(b, 100) }
func BenchmarkRoute1000(b *testing.B) { benchmarkRoute(b, 1000) }
