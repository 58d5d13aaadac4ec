package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// smallBounds are those of mulaz-ticketing's sheet.
const smallBounds = `seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_extension_ms = 5000
revoke_everywhere = false
revoke_timeout_ms = 5000
retry_budget_ratio = 0.9
retry_window_s = 10
retry_min_extra = 56
exposure_fraction = 0.15
exposure_tolerance = 30
rollback_timeout_ms = 5000
cold_overshoot = 1.5
cold_tolerance = 5
evacuation_ms = 5000
recovery_s = 12
delivery_slack_ms = 120
reuse_window_s = 10
session_ttl_s = 5`

// smallMachines are the machines of mulaz-ticketing.
var smallMachines = []machine{{"z1", 0.304}, {"z1", 0.304}, {"z2", 0.304}, {"z2", 0.304}, {"z3", 0.304}}

// modelConfig is the operator's configuration of a service of model engines.
func modelConfig(version int) map[string]any {
	route := func(name string, timeout, target int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "app.example", "prefix": "/" + name + "/", "backend": "lm", "route_type": "streaming",
			"timeout_ms": timeout, "target_latency_ms": target, "priority_class": 1, "sizes": []string{"m0", "m1", "m2"}, "max_attempts": 3,
			"anonymous": false, "session_affinity": true, "stream_resumption": true, "itl_target_ms": 1000,
		}
	}
	return map[string]any{
		"version": version, "routes": []any{route("draft", 20000, 3000), route("faq", 20000, 2000)},
		"backends": []any{map[string]any{
			"name": "lm", "health_check_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls_enabled": false, "cold_start_s": 3.0, "cold_per_s": 6.9,
			"engine_type": map[string]any{"capacity_slots": 64, "kv_cache_tokens": 458358, "stride": 4},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"key1"}, "priority_class": 1}},
	}
}

// deployment is the size and the load of a case with deadly requests.
type deployment struct {
	machines []machine
	engines  int
	// events and eventTime make up an answer.
	events    int
	eventTime time.Duration
	// interval is the time between sound requests, and each deadlyEach-th of them is followed by one
	// with the deadly part.
	interval   time.Duration
	deadlyEach int
	traffic    time.Duration
	// calm is the time before the first request with the deadly part.
	calm time.Duration
	// headFirst is set if the head of an answer and an event are sent before the crash.
	headFirst   bool
	beforeCrash time.Duration
}

// tainted: one part of a prompt crashes each engine that begins to write an answer on it, before the
// head of the answer is out.
func tainted(r *rig) bool {
	d := deployment{
		machines: smallMachines, engines: 12, events: 13, eventTime: 40 * time.Millisecond,
		interval: 50 * time.Millisecond, deadlyEach: 40, traffic: 40 * time.Second,
	}
	// HEAD is for a comparison: the head is sent so many ms before the crash.
	if ms, err := strconv.Atoi(os.Getenv("HEAD")); err == nil {
		d.headFirst, d.beforeCrash = true, time.Duration(ms)*time.Millisecond
	}
	return r.sendDeadly(d)
}

// loaded: the same with the head before the crash, while one machine is left that has many requests at
// each engine.
func loaded(r *rig) bool {
	d := deployment{
		machines: smallMachines[:1], engines: 12, events: 43, eventTime: 400 * time.Millisecond,
		interval: 33 * time.Millisecond, deadlyEach: 60, traffic: 55 * time.Second, calm: 20 * time.Second, headFirst: true,
	}
	// INTERVAL is for a comparison: the time in ms between sound requests.
	if ms, err := strconv.Atoi(os.Getenv("INTERVAL")); err == nil {
		d.deadlyEach = d.deadlyEach * 33 / ms
		d.interval = time.Duration(ms) * time.Millisecond
	}
	return r.sendDeadly(d)
}

func (r *rig) sendDeadly(d deployment) bool {
	const (
		contact  = 3 * time.Second
		allowed  = 3
		deadly   = "dead0bad"
		deadline = 20 * time.Second
	)
	s := newStore(r.record)
	engines := &modelEngines{
		record: r.record, store: s, service: "lm", arrivals: &arrivals{byID: make(map[string][]arrival)}, deadlyPart: deadly, down: 3 * time.Second,
		headFirst: d.headFirst, beforeCrash: d.beforeCrash, events: d.events, eventTime: d.eventTime,
	}
	s.put("op/config", modelConfig(3))
	for i := range d.engines {
		time.Sleep(beat / time.Duration(d.engines))
		engines.start(i+1, fmt.Sprintf("z%d", i%3+1), false)
	}
	r.newEdges(s, smallBounds, d.machines)
	for _, e := range r.edges {
		eventually(9*time.Second, e.name+" is ready", e.isReady)
	}
	time.Sleep(time.Until(r.record.start.Add(10 * time.Second)))
	c, began := &clients{}, time.Now()
	var requests sync.WaitGroup
	prompt := func(route string, parts string, tokens int, n int) call {
		return call{route: route, method: http.MethodPost, deadline: deadline, body: fmt.Sprintf("prompt %d", n), header: map[string]string{
			"X-Model": "*", "X-Token-Count": fmt.Sprintf("%d,60", tokens), "X-Prompt-Prefix": parts,
		}}
	}
	var mu sync.Mutex
	tainted := make(map[string]bool)
	clientOf := make([]*http.Client, len(r.edges))
	for i := range clientOf {
		clientOf[i] = newClient()
	}
	for n := 0; time.Since(began) < d.traffic; n++ {
		i := n % len(r.edges)
		in := prompt("draft", fmt.Sprintf("5ba4ed:13300,%x:3720", 0x10000+n), 17020, n)
		if n%2 == 1 {
			in = prompt("faq", fmt.Sprintf("fa9:350,%x:1110", 0x10000+n), 1460, n)
		}
		requests.Go(func() { c.call(clientOf[i], r.edges[i], in) })
		// No two requests with the deadly part are alike.
		if n%d.deadlyEach == d.deadlyEach-1 && time.Since(began) >= d.calm && r.trouble {
			i := n / d.deadlyEach % len(r.edges)
			in := prompt("draft", fmt.Sprintf("5ba4ed:13300,%s:500,%x:3220", deadly, 0x90000+n), 17020, 100000+n)
			requests.Go(func() {
				one := c.call(clientOf[i], r.edges[i], in)
				mu.Lock()
				tainted[one.id] = true
				mu.Unlock()
			})
		}
		time.Sleep(d.interval)
	}
	requests.Wait()
	engines.mu.Lock()
	defer engines.mu.Unlock()
	var from time.Time
	if len(engines.crashes) >= 5 {
		from = engines.crashes[4].Add(contact)
	}
	late, whole, sound := 0, 0, 0
	r.record.add("requests: id route: machine and time, engine and time of arrival, status and time of the end of the answer")
	for _, one := range c.list {
		for _, a := range engines.arrivals.byID[one.id] {
			r.record.request(one, a, tainted[one.id])
			if tainted[one.id] && !from.IsZero() && a.at.After(from) {
				late++
			}
		}
		if !tainted[one.id] {
			sound++
			if one.status == http.StatusOK && one.err == nil {
				whole++
			}
		}
	}
	r.keepLogs("quarantine")
	summary := fmt.Sprintf("%d requests with the deadly part sent, %d crashes of engines; %d arrivals of such requests later than %s after the fifth crash (%d allowed); %d of %d sound requests answered whole",
		len(tainted), len(engines.crashes), late, contact, allowed, whole, sound)
	r.record.add("%s", summary)
	fmt.Println(summary)
	return late > allowed
}
