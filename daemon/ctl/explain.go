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

// maxExplanation bounds the answer of a router.
const maxExplanation = 1 << 20

func explainCommands() []Command {
	return []Command{{Name: "explain", Summary: "ask a router how it would decide a request", Run: runExplain}}
}

func runExplain(ctx context.Context, env Env, args []string) int {
	s := newSession(env, "explain", "", "Asks a router's admin address how it would route a request now.")
	router := s.flags.String("router", "", "`URL` of the router's admin address")
	values := make(map[string]*string)
	for _, name := range []string{"workspace", "model", "session", "kind", "service", "method", "path", "request_id"} {
		values[name] = s.flags.String(strings.ReplaceAll(name, "_", "-"), "", name+" of the request")
	}
	return s.run(ctx, func(ctx context.Context) error {
		if err := s.parse(args, 0, 0); err != nil {
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
		return s.explain(ctx, base.String())
	})
}

// explain prints the answer: JSON indented, anything else as it is.
func (s *session) explain(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanation))
	if err != nil {
		return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
	}
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		out.Reset()
		out.Write(body)
	}
	fmt.Fprintln(s.env.Stdout, strings.TrimSpace(out.String()))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("router answered %s", resp.Status)
	}
	return nil
}
