package bench

import (
	"context"
	"fmt"
	"time"

	"cactusknot.example/daemon/bench/queueing"
)

// announcingServers are the sizes of the service whose servers announce that they leave or pause.
var announcingServers = []int{12, 160}

// maxSentInSpite is the target for requests to servers that have announced it.
const maxSentInSpite = 0

// RunAnnouncements measures requests to servers that announce that they leave or pause.
func RunAnnouncements(ctx context.Context, o Options) (Report, error) {
	report := Report{Scenario: "announcements", Notes: "5 routers, 80% load of the servers that stay; a third leaves, half pauses for 1 s, within 30 s"}
	for _, servers := range announcingServers {
		name := fmt.Sprintf("%d servers", servers)
		var sent, difference []float64
		for _, seed := range o.Seeds {
			scenario := queueing.NewAnnouncementScenario(servers)
			scenario.Measured = time.Duration(o.Scale * float64(scenario.Measured))
			results, err := scenario.Run(ctx, seed)
			if err != nil {
				return report, err
			}
			for _, r := range results {
				report.Rows = append(report.Rows, announcementRow(name, seed, r))
			}
			heeded, dropped := results[0], results[1]
			sent = append(sent, float64(heeded.SentToLeaving+heeded.SentToPaused))
			difference = append(difference, ratio(heeded.Counts.InTime, heeded.Counts.Requests)-ratio(dropped.Counts.InTime, dropped.Counts.Requests))
		}
		report.checkAllAtMost(name, "requests sent later than 100 ms after an announcement", maxSentInSpite, sent)
		report.checkAllAtLeast(name, "share in time, more than with announcements dropped", 0, difference)
	}
	return report, nil
}

func announcementRow(deployment string, seed uint64, r queueing.AnnouncementResult) Row {
	return Row{Measure: "announcements", Deployment: deployment, Variant: r.Policy, Seed: seed, Values: []Value{
		{Name: "sent to leaving servers", Value: float64(r.SentToLeaving)},
		{Name: "sent to paused servers", Value: float64(r.SentToPaused)},
		{Name: "in time", Value: ratio(r.Counts.InTime, r.Counts.Requests)},
		{Name: "refused", Value: ratio(r.Counts.Refused, r.Counts.Requests)},
		{Name: "cut off", Value: ratio(r.Counts.Broken, r.Counts.Requests)},
		{Name: "total p99", Unit: "ms", Value: milliseconds(r.Total.P99)},
	}}
}
