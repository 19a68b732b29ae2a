package load

import (
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// ReadKinds reads a plan file: one section [kind "name"] for each sort of
// program, with the keys of Kind in lower case and underscores.
func ReadKinds(path string) ([]Kind, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Usage, "plan")
	}
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, failure.Wrap(err, failure.Usage, "plan %s", path)
	}
	var kinds []Kind
	for _, s := range f.Sections() {
		name, ok := strings.CutPrefix(s.Name(), "kind ")
		if !ok {
			continue
		}
		k := Kind{
			Name: strings.Trim(name, `"`), Caller: s.Key("caller").String(), Token: s.Key("token").String(),
			Service: s.Key("service").String(), OrderService: s.Key("order").String(),
			Turns: s.Key("turns").MustInt(1), QuestionWords: s.Key("words").MustInt(20), SubAgentTurns: s.Key("sub_agent").MustInt(0),
			Pause: s.Key("pause").MustDuration(50 * time.Millisecond), MaxTokens: s.Key("max_tokens").MustInt64(256),
			Stream: s.Key("stream").MustBool(false),
		}
		if k.Token == "" || k.Service == "" {
			return nil, failure.New(failure.Usage, "plan %s: kind %q needs a token and a service", path, k.Name)
		}
		kinds = append(kinds, k)
	}
	if len(kinds) == 0 {
		return nil, failure.New(failure.Usage, "plan %s has no kinds", path)
	}
	return kinds, nil
}
