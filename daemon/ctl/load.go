package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/loadgen"
)

func loadCommands() []Command {
	return []Command{{
		Name:    "load",
		Summary: "generate an open-loop load and report latency and result codes",
		Run:     runLoad,
	}}
}

// runLoad returns ExitFailed if a response that reported no error was incomplete
// or belonged to another caller. Rejected requests and errors are only counted.
func runLoad(ctx context.Context, env Env, args []string) int {
	fs := flag.NewFlagSet("cactusctl load", flag.ContinueOnError)
	fs.SetOutput(env.Stderr)
	target := fs.String("target", "", "base URLs, separated by commas")
	rate := fs.Float64("rate", 10, "mean requests per second")
	duration := fs.Duration("duration", 10*time.Second, "time during which requests start")
	seed := fs.Uint64("seed", 1, "seed of the schedule and the requests")
	workload := fs.String("workload", "", "JSON workload file")
	ca := fs.String("ca", "", "PEM file with the CA of the targets; empty uses the system's CAs")
	asJSON := fs.Bool("json", false, "print the report as JSON")
	if err := fs.Parse(args); err != nil {
		return usageCode(err)
	}
	if *target == "" || *workload == "" || fs.NArg() > 0 {
		fmt.Fprintln(env.Stderr, "cactusctl load: -target and -workload are required")
		fs.Usage()
		return ExitUsage
	}
	opts := loadgen.Options{
		Targets:  strings.Split(*target, ","),
		Rate:     *rate,
		Duration: *duration,
		Seed:     *seed,
	}
	if err := readLoadInputs(&opts, *workload, *ca); err != nil {
		fmt.Fprintf(env.Stderr, "cactusctl load: %v\n", err)
		return ExitUsage
	}
	report, err := loadgen.Run(ctx, opts)
	if err != nil {
		fmt.Fprintf(env.Stderr, "cactusctl load: %v\n", err)
		return ExitUsage
	}
	if *asJSON {
		if code := printJSON(env, report); code != ExitOK {
			return code
		}
	} else {
		report.Print(env.Stdout)
	}
	if report.InvalidResponses() > 0 {
		return ExitFailed
	}
	return ExitOK
}

// readLoadInputs reads the workload file and the CA file into opts.
func readLoadInputs(opts *loadgen.Options, workload, ca string) error {
	f, err := os.Open(workload)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	if opts.Workload, err = loadgen.ReadWorkload(f); err != nil {
		return trace.Wrap(err, "workload %s", workload)
	}
	if ca == "" {
		return nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return trace.BadParameter("%s contains no certificate", ca)
	}
	opts.Client = loadgen.NewClient(&http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
	})
	return nil
}
