package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"cactusknot.example/coord/kv"
)

// maxExplainBytes bounds the response of a router.
const maxExplainBytes = 1 << 20

func explainCommands() []Command {
	return []Command{{Name: "explain", Summary: "show how a router would route a request", Run: runExplain}}
}

func runExplain(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "explain", "", "Queries a router at its admin address for how it would route a request now.")
	router := inv.flags.String("router", "", "`URL` of the router's admin address")
	values := make(map[string]*string)
	for _, name := range []string{"workspace", "model", "session", "kind", "service", "method", "path", "request_id"} {
		values[name] = inv.flags.String(strings.ReplaceAll(name, "_", "-"), "", name+" of the request")
	}
	return inv.run(ctx, func(ctx context.Context) error {
		if err := inv.parse(args, 0, 0); err != nil {
			return err
		}
		base, err := url.Parse(*router)
		if err != nil || base.Host == "" {
			return fmt.Errorf("%w: -router must be a URL", errUsage)
		}
		query := url.Values{}
		for name, value := range values {
			if *value != "" {
				query.Set(name, *value)
			}
		}
		base = base.JoinPath("/admin/explain")
		base.RawQuery = query.Encode()
		return inv.explain(ctx, base.String())
	})
}

// explain requests address and prints the response body, indented if it is JSON
// and unchanged otherwise.
func (inv *invocation) explain(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplainBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
	}
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		out.Reset()
		out.Write(body)
	}
	fmt.Fprintln(inv.env.Stdout, strings.TrimSpace(out.String()))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("router responded with status %s", resp.Status)
	}
	return nil
}
