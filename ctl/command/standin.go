package command

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
)

// addStandins adds "standin platform|engine|service".
func (a *app) addStandins(p *flags.Parser) error {
	c, err := p.AddCommand("standin", "Run a stand-in", "Runs a stand-in of a system that pistachioarch depends on, until it is interrupted. GET and PUT /faults read and set its faults while it runs; PUT /faults/die terminates it at once.\n\nExample: pistachioctl standin engine --listen 127.0.0.1:9001", &struct{}{})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "command line")
	}
	for _, s := range []subcommand{
		{"platform", "The platform's object API", "Example: pistachioctl standin platform --listen 127.0.0.1:9000", &standinPlatform{standinListen{app: a}}},
		{"engine", "A model engine", "Example: pistachioctl standin engine --batch 8 --decode 8ms", &standinEngine{standinListen: standinListen{app: a}}},
		{"service", "A plain service", "Example: pistachioctl standin service", &standinService{standinListen{app: a}}},
	} {
		if _, err := c.AddCommand(s.name, s.short, s.long, s.data); err != nil {
			return failure.Wrap(err, failure.Internal, "command line")
		}
	}
	return nil
}

type standinListen struct {
	app    *app
	Listen string `long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"address; port 0 lets the kernel choose"`
}

// serve serves a handler until it is interrupted, and prints its address as one JSON line.
func (s *standinListen) serve(h http.Handler) error {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return failure.Wrap(err, failure.Usage, "listen")
	}
	line, _ := json.Marshal(map[string]string{"listening": l.Addr().String()}) // strings always encode
	fmt.Fprintln(s.app.out, string(line))
	mux := http.NewServeMux()
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	mux.Handle("/", h)
	mux.HandleFunc("PUT /faults/die", func(http.ResponseWriter, *http.Request) {
		_ = server.Close() // closes every connection and ends the process
	})
	go func() {
		<-s.app.ctx.Done()
		_ = server.Close() // interrupted
	}()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return failure.Wrap(err, failure.Internal, "serve")
	}
	return nil
}

type standinPlatform struct{ standinListen }

// Execute implements flags.Commander.
func (c *standinPlatform) Execute([]string) error { return c.serve(standin.NewPlatform().Handler()) }

type standinEngine struct {
	standinListen
	Batch     int           `long:"batch" default:"8" description:"number of calls that run at the same time"`
	Cache     int64         `long:"cache-tokens" default:"120000" description:"size of the prefix cache"`
	Prefill   time.Duration `long:"prefill" default:"50us" description:"time per prompt token"`
	Decode    time.Duration `long:"decode" default:"8ms" description:"time per output token"`
	Tokens    int64         `long:"output-tokens" default:"16" description:"length of an answer"`
	ReportLag time.Duration `long:"report-lag" default:"500ms" description:"age of load reports"`
	NoFencing bool          `long:"no-fencing" description:"do not check fencing tokens"`
}

// Execute implements flags.Commander.
func (c *standinEngine) Execute([]string) error {
	return c.serve(standin.NewEngine(standin.EngineConfig{
		BatchSize: c.Batch, CacheTokens: c.Cache, PrefillPerToken: c.Prefill, DecodePerToken: c.Decode, OutputTokens: c.Tokens,
		ReportLag: c.ReportLag, ChecksFencing: !c.NoFencing,
	}).Handler())
}

type standinService struct{ standinListen }

// Execute implements flags.Commander.
func (c *standinService) Execute([]string) error { return c.serve(standin.NewService().Handler()) }
