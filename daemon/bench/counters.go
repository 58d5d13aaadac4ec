package bench

import (
	"context"
	"fmt"
	"runtime"
	"strconv"

	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

const (
	// counterKinds and counterVersions are the numbers of request kinds per
	// workspace and of versions that answer them at the target size.
	counterKinds    = 3
	counterVersions = 2

	// Budgets of section 1.4 of the design page. They apply to all control work
	// of a node, not to the counters alone.
	memoryBudget    = 64 << 20
	bandwidthBudget = 5 << 10
	// targetRequests is the number of requests per second of the whole fleet.
	// The router has every answer rated, so each request changes a counter.
	targetRequests = 7800
)

// counterSizes lists the measured numbers of routers and workspaces. The rows
// of the last size do not fit in the memory of one machine, so its figures are
// extrapolated from the rows measured.
var counterSizes = []struct{ routers, workspaces int }{{12, 10}, {40, 100}, {targetRouters, targetWorkspaces}}

const (
	targetWorkspaces = 2000
	// measuredRows is the maximum number of rows in one measurement.
	measuredRows = 200_000
)

// RunCounters measures the memory of a row of the counter table and the size of
// its message at three sizes.
func RunCounters(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "counters", Notes: fmt.Sprintf(
		"%d kinds, %d versions and %d intervals per workspace", counterKinds, counterVersions, routing.ScoreBins)}
	for _, size := range counterSizes {
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
		keys := size.workspaces * counterKinds * counterVersions * routing.ScoreBins
		rows := keys * size.routers
		measured := min(rows, max(1000, int(measuredRows*o.Scale)))
		rowBytes, messageBytes := counterBytes(size.routers, measured)
		name := fmt.Sprintf("%d routers, %d workspaces", size.routers, size.workspaces)
		report.Rows = append(report.Rows, Row{
			Measure: "counters", Deployment: name, Variant: "stats.Table",
			Values: []Value{
				{"rows when every router has rated every key", "", float64(rows)},
				{"rows measured", "", float64(measured)},
				{"memory per row", "B", rowBytes},
				{"message per changed row", "B", messageBytes},
				{"memory of all rows", "MB", rowBytes * float64(rows) / (1 << 20)},
				{"rows that fit 64 MB", "", memoryBudget / rowBytes},
				{"changed rows per second that fit 5 KB/s", "", bandwidthBudget / messageBytes},
			},
		})
		if size.routers == targetRouters {
			report.checkAtMost(name, "memory of all rows, bytes", memoryBudget, rowBytes*float64(rows))
			report.checkAtMost(name, "bytes per second of deltas at one changed row per request", bandwidthBudget, messageBytes*targetRequests)
		}
	}
	return report, nil
}

// counterBytes fills a table with rows of the given number of routers and
// returns the heap bytes per row and the mean size of a row's message.
func counterBytes(routers, rows int) (rowBytes, messageBytes float64) {
	before := heapInUse()
	table := stats.NewTable[routing.CounterKey](stats.Node{Name: "self", Incarnation: 1})
	total := 0
	for i := range rows {
		e := counterEntry(i%routers, i/routers)
		_, _ = table.Merge([]stats.Entry[routing.CounterKey]{e})
		total += counterMessageSize(e)
	}
	heap := heapInUse() - before
	runtime.KeepAlive(table)
	return heap / float64(rows), float64(total) / float64(rows)
}

// counterEntry returns a router's row for key number i. Each row has its own
// copies of the strings, like rows decoded from peer messages.
func counterEntry(router, i int) stats.Entry[routing.CounterKey] {
	tags := routing.Tags{Kind: "kind-" + strconv.Itoa(i/routing.ScoreBins%counterKinds), Bin: i % routing.ScoreBins}
	i /= routing.ScoreBins * counterKinds
	return stats.Entry[routing.CounterKey]{
		Node: stats.Node{Name: vmName(router), Incarnation: 1 << 60},
		Key: routing.CounterKey{
			Workspace: workspaceName(i / counterVersions),
			Model:     "model-0" + strconv.Itoa(i%counterVersions),
			Version:   strconv.Itoa(1),
			Kind:      tags.Encode(),
		},
		Counter: stats.Counter{Count: 50, Sum: 42.5, SumSquares: 38.25},
	}
}

func counterMessageSize(e stats.Entry[routing.CounterKey]) int {
	return proto.Size(&rpc.QualityCounter{
		Node: e.Node.Name, NodeIncarnation: e.Node.Incarnation, Workspace: e.Key.Workspace,
		Model: e.Key.Model, Version: e.Key.Version, Kind: e.Key.Kind,
		Count: e.Counter.Count, Sum: e.Counter.Sum, SumSquares: e.Counter.SumSquares,
	})
}
