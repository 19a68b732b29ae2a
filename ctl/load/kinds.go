package load

import (
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// ReadKinds reads the kinds of programs from a plan file (INI). Each has a section
// [kind "name"] with the keys caller, token, service, order (Kind.OrderService),
// turns (default 1), words (Kind.QuestionWords, default 20), sub_agent
// (Kind.SubAgentTurns), pause (default 50ms), max_tokens (default 256) and stream.
// Token and service are required. Its failures are of kind Usage.
func ReadKinds(path string) ([]Kind, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Usage, "plan")
	}
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, failure.Wrap(err, failure.Usage, "plan %s", path)
	}
	var kinds []Kind
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), "kind ")
		if !ok {
			continue
		}
		kind := Kind{
			Name: strings.Trim(name, `"`), Caller: section.Key("caller").String(), Token: section.Key("token").String(),
			Service: section.Key("service").String(), OrderService: section.Key("order").String(),
			Turns: section.Key("turns").MustInt(1), QuestionWords: section.Key("words").MustInt(20), SubAgentTurns: section.Key("sub_agent").MustInt(0),
			Pause: section.Key("pause").MustDuration(50 * time.Millisecond), MaxTokens: section.Key("max_tokens").MustInt64(256),
			Stream: section.Key("stream").MustBool(false),
		}
		if kind.Token == "" || kind.Service == "" {
			return nil, failure.New(failure.Usage, "plan %s: kind %q needs a token and a service", path, kind.Name)
		}
		kinds = append(kinds, kind)
	}
	if len(kinds) == 0 {
		return nil, failure.New(failure.Usage, "plan %s has no kinds", path)
	}
	return kinds, nil
}
