package simulation

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// trafficDirVariable is the environment variable that names the directory in which TestRecordTraffic writes one file
// per scenario. To verify that a change preserves behavior, record one directory before and one after it and compare
// them with diff -r: the first different line shows the interface and the second of the run. docs/architecture.md
// describes the procedure.
const trafficDirVariable = "PINEBAY_TRAFFIC_DIR"

// trafficScenarios returns scenarios that cover failover, outages of the key-value store, a refused leader,
// cancellations, pipelines, mixed feature levels, zone failover and ownership. The traffic of most is identical in
// every run; see TestSameSeedSameRun for the two known causes of differences.
func trafficScenarios() []scenario {
	ownership := []func(*cluster){withOwnership(everywhere)}
	zoneFailover := []func(*cluster){withZoneFailover(everywhere)}
	upgradeOptions := []func(*cluster){productionLevel, announceLowerLimits}
	partialOwnership := []func(*cluster){withOwnership(func(node int) bool { return node == 1 })}
	return []scenario{
		{
			name:        "quiet",
			controllers: 3,
			timings:     fastTimings,
		},
		{
			name:        "storm",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, submissionStorm(40 * s)},
			},
		},
		{
			name:        "crowd",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, overload(24)},
				{30 * s, cancelJobs(3, 0)},
			},
		},
		{
			name:        "crowd-slow",
			controllers: 3,
			timings:     slowTimings,
			steps: []step{
				{0, overload(16)},
				{20 * s, cancelJobs(6, 60*s)},
			},
		},
		{
			name:        "leader-crash",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, staggeredCompletions(6)},
				{10 * s, crashLeader(5 * s)},
				{20 * s, cancelJobs(3, 0)},
			},
		},
		{
			name:        "leader-crashes",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, staggeredCompletions(6)},
				{1 * s, crashLeader(300 * ms)},
				{12 * s, crashLeader(5 * s)},
				{20 * s, cancelJobs(3, 40*s)},
				{30 * s, crashLeader(5 * s)},
			},
		},
		{
			name:        "all-crash",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, cancelJobs(2, 0)},
				{200 * ms, crashAllControllers(14 * s)},
			},
		},
		{
			name:        "outage",
			controllers: 5,
			timings:     fastTimings,
			steps: []step{
				{0, overload(12)},
				{10 * s, cancelJobs(4, 20*s)},
				{10100 * ms, during(20*s, storeOutage)},
				{12 * s, cancelJobs(2, 0)},
			},
		},
		{
			name:        "refused-then-outage",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, during(60*s, refuseLeader)},
				{500 * ms, cancelJobs(4, 0)},
				{1500 * ms, during(50*s, storeOutage)},
			},
		},
		{
			name:        "leader-apart",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, during(40*s, isolateLeader)},
				{1 * s, cancelJobs(3, 0)},
				{6 * s, cancelJobs(3, 0)},
			},
		},
		{
			name:        "zone-cut",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, during(30*s, isolateZone)},
				{3 * s, cancelJobs(4, 0)},
				{40 * s, cancelJobs(2, 0)},
			},
		},
		{
			name:        "late-writes",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, during(60*s, delayedWrites(0.25))},
				{0, submissionStorm(30 * s)},
				{5 * s, cancelJobs(4, 0)},
			},
		},
		{
			name:        "late-reports",
			controllers: 3,
			timings:     slowTimings,
			steps: []step{
				{0, during(90*s, duplicateHeartbeats(0.2))},
				{0, staggeredCompletions(6)},
				{5 * s, during(40*s, holdReplies(2))},
				{20 * s, loseMachines(1)},
				{30 * s, cancelJobs(3, 0)},
			},
		},
		{
			name:        "hung-machines",
			controllers: 3,
			timings:     slowTimings,
			steps: []step{
				{0, cancelJobs(6, 100*s)},
				{100 * ms, hangWorkers(9, 100*s)},
			},
		},
		{
			name:        "pipelines",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, pipelines(10)},
				{20 * s, overload(8)},
			},
		},
		{
			name:        "pipelines-leader-crash",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, pipelines(10)},
				{6 * s, crashLeader(5 * s)},
			},
		},
		{
			name:        "upgrade",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(6)},
				{0, upgrade([]int{0, 1, 2}, 10*s, 5*s)},
				{34 * s, pipelines(8)},
			},
			options: upgradeOptions,
		},
		{
			name:        "zone-return",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowPriorityArrays(8)},
				{8 * s, during(40*s, disconnectZone("b", 1))},
			},
			options: zoneFailover,
		},
		{
			name:        "zone-return-crash",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowPriorityArrays(8)},
				{8 * s, during(40*s, disconnectZone("b", 1))},
				{20 * s, crashLeader(5 * s)},
			},
			options: zoneFailover,
		},
		{
			name:        "owners",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{30 * s, submissionStorm(20 * s)},
				{40 * s, cancelJobs(3, 0)},
			},
			options: ownership,
		},
		{
			name:        "owners-follower-crash",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{20 * s, crashFollower(25 * s)},
				{21 * s, cancelJobs(2, 0)},
			},
			options: ownership,
		},
		{
			name:        "owners-link-cut",
			controllers: 5,
			timings:     fastTimings,
			steps: []step{
				{20 * s, during(20*s, blockLeaderLink)},
				{21 * s, cancelJobs(3, 0)},
			},
			options: ownership,
		},
		{
			name:        "owners-mixed",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{20 * s, cancelJobs(3, 0)},
				{25 * s, crashLeader(20 * s)},
			},
			options: partialOwnership,
		},
	}
}

// interfaceOf returns the name of the interface that a packet between two hosts belongs to.
func interfaceOf(from, to string) string {
	for _, host := range []string{from, to} {
		switch host {
		case HostOf(stateAddr):
			return "state"
		case HostOf(cloudAddr):
			return "cloud"
		case usersHost:
			return "users"
		}
	}
	if strings.HasPrefix(from, "10.0.0.") && strings.HasPrefix(to, "10.0.0.") {
		return "mesh"
	}
	return "workers"
}

// digestTraffic returns one line for each second and interface, with the number of delivered packets and a digest of
// the times, hosts and contents of these packets.
func digestTraffic(all []packetArrival) string {
	type slot struct {
		second time.Duration
		name   string
	}
	type digest struct {
		packets int
		sum     uint64
	}
	const prime = 1099511628211 // 64-bit FNV prime
	slots := map[slot]*digest{}
	var order []slot
	for _, a := range all {
		at := slot{a.at.Truncate(time.Second), interfaceOf(a.from, a.to)}
		d := slots[at]
		if d == nil {
			d = &digest{}
			slots[at] = d
			order = append(order, at)
		}
		d.packets++
		for _, b := range fmt.Appendf(nil, "%d %s %s %x", a.at, a.from, a.to, a.content) {
			d.sum = (d.sum ^ uint64(b)) * prime
		}
	}
	slices.SortStableFunc(order, func(a, b slot) int {
		if a.second != b.second {
			return int(a.second - b.second)
		}
		return strings.Compare(a.name, b.name)
	})
	var out bytes.Buffer
	for _, at := range order {
		fmt.Fprintf(
			&out,
			"%4d s %-8s %5d %016x\n",
			int(at.second/time.Second),
			at.name,
			slots[at].packets,
			slots[at].sum,
		)
	}
	return out.String()
}

// TestRecordTraffic records the traffic of every scenario to compare two commits. It is skipped unless the environment
// variable for the directory is set, because a single recording has no expected content.
func TestRecordTraffic(t *testing.T) {
	dir := os.Getenv(trafficDirVariable)
	if dir == "" {
		t.Skipf("%s is not set", trafficDirVariable)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for i, x := range trafficScenarios() {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			all := recordArrivals(t, uint64(1000+i), x.controllers, x.timings, x.steps, x.options...)
			if err := os.WriteFile(filepath.Join(dir, x.name+".txt"), []byte(digestTraffic(all)), 0o644); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestTrafficDigestFindsOneByte checks that a change of one byte in one packet changes exactly one line of the digest,
// the one for the second and the interface of that packet.
func TestTrafficDigestFindsOneByte(t *testing.T) {
	record := func(change int) []string {
		var packets int
		var all []packetArrival
		for i := range 400 {
			data := fmt.Appendf(nil, "packet %d", i%7)
			if packets++; packets == change {
				data[3] ^= 1
			}
			from, to := []string{"10.0.0.1", "10.1.0.9"}[i%2], []string{"10.0.0.2", HostOf(stateAddr), usersHost}[i%3]
			all = append(all, newArrival(time.Duration(i)*50*ms, from, to, data))
		}
		var lines []string
		for scan := bufio.NewScanner(strings.NewReader(digestTraffic(all))); scan.Scan(); {
			lines = append(lines, scan.Text())
		}
		return lines
	}
	const changed = 213
	before, after := record(0), record(changed)
	if len(before) != len(after) || len(before) < 40 {
		t.Fatalf("digests have %d and %d lines, want the same number and at least 40", len(before), len(after))
	}
	var different []int
	for i := range before {
		if before[i] != after[i] {
			different = append(different, i)
		}
	}
	if len(different) != 1 || !strings.HasPrefix(before[different[0]], "  10 s ") {
		t.Errorf("different lines: %v, want only one for second 10", different)
	}
	if again := record(0); !slices.Equal(before, again) {
		t.Error("two digests of the same traffic differ")
	}
}
