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

	"pinebay/internal/config"
)

// trafficDirVariable names the folder in which TestRecordTraffic leaves one file a scenario. Two folders, recorded
// before and after a change that should not change behaviour, are compared with diff -r: the first line that
// differs names the interface and the second. docs/architecture.md says how to use it.
const trafficDirVariable = "PINEBAY_TRAFFIC_DIR"

// trafficScenario is a scenario whose traffic is recorded.
type trafficScenario struct {
	name        string
	controllers int
	workers     config.Workers
	steps       []step
	options     []func(*cluster)
}

// trafficScenarios cover failover, outages of the state service, a refused leader, cancellations, pipelines, mixed
// feature levels, zone return and ownership. They keep to what repeats to the byte; see TestSameSeedSameRun for the
// two known causes of difference.
func trafficScenarios() []trafficScenario {
	everyoneOwns, zoneReturn := []func(*cluster){
		withOwnership(everywhere),
	}, []func(*cluster){
		withZoneFailover(everywhere),
	}
	upgrading := []func(*cluster){productionLevel, announceLowerLimits}
	oneOwns := []func(*cluster){withOwnership(func(node int) bool { return node == 1 })}
	return []trafficScenario{
		{"quiet", 3, fastTimings, nil, nil},
		{"storm", 3, fastTimings, []step{{0, submissionStorm(40 * s)}}, nil},
		{"crowd", 3, fastTimings, []step{{0, overload(24)}, {30 * s, cancelJobs(3, 0)}}, nil},
		{"crowd-slow", 3, slowTimings, []step{{0, overload(16)}, {20 * s, cancelJobs(6, 60*s)}}, nil},
		{
			"leader-crash",
			3,
			fastTimings,
			[]step{{0, staggeredCompletions(6)}, {10 * s, crashLeader(5 * s)}, {20 * s, cancelJobs(3, 0)}},
			nil,
		},
		{"leader-crashes", 3, fastTimings, []step{
			{0, staggeredCompletions(6)},
			{1 * s, crashLeader(300 * ms)},
			{12 * s, crashLeader(5 * s)},
			{20 * s, cancelJobs(3, 40*s)},
			{30 * s, crashLeader(5 * s)},
		}, nil},
		{"all-crash", 3, fastTimings, []step{{0, cancelJobs(2, 0)}, {200 * ms, crashAllControllers(14 * s)}}, nil},
		{"outage", 5, fastTimings, []step{
			{0, overload(12)},
			{10 * s, cancelJobs(4, 20*s)},
			{10100 * ms, during(20*s, storeOutage)},
			{12 * s, cancelJobs(2, 0)},
		}, nil},
		{"refused-then-outage", 3, fastTimings, []step{
			{0, during(60*s, refuseLeader)},
			{500 * ms, cancelJobs(4, 0)},
			{1500 * ms, during(50*s, storeOutage)},
		}, nil},
		{
			"leader-apart",
			3,
			fastTimings,
			[]step{{0, during(40*s, isolateLeader)}, {1 * s, cancelJobs(3, 0)}, {6 * s, cancelJobs(3, 0)}},
			nil,
		},
		{
			"zone-cut",
			3,
			fastTimings,
			[]step{{0, during(30*s, isolateZone)}, {3 * s, cancelJobs(4, 0)}, {40 * s, cancelJobs(2, 0)}},
			nil,
		},
		{
			"late-writes",
			3,
			fastTimings,
			[]step{{0, during(60*s, delayedWrites(0.25))}, {0, submissionStorm(30 * s)}, {5 * s, cancelJobs(4, 0)}},
			nil,
		},
		{"late-reports", 3, slowTimings, []step{
			{0, during(90*s, duplicateHeartbeats(0.2))},
			{0, staggeredCompletions(6)},
			{5 * s, during(40*s, holdReplies(2))},
			{20 * s, loseMachines(1)},
			{30 * s, cancelJobs(3, 0)},
		}, nil},
		{"hung-machines", 3, slowTimings, []step{{0, cancelJobs(6, 100*s)}, {100 * ms, hangWorkers(9, 100*s)}}, nil},
		{"pipelines", 3, fastTimings, []step{{0, pipelines(10)}, {20 * s, overload(8)}}, nil},
		{"pipelines-leader-crash", 3, fastTimings, []step{{0, pipelines(10)}, {6 * s, crashLeader(5 * s)}}, nil},
		{"upgrade", 3, fastTimings, []step{
			{0, lowerLimitsOnceUpgraded},
			{0, submitBatches(6)},
			{0, upgrade([]int{0, 1, 2}, 10*s, 5*s)},
			{34 * s, pipelines(8)},
		}, upgrading},
		{
			"zone-return",
			3,
			fastTimings,
			[]step{{0, lowPriorityArrays(8)}, {8 * s, during(40*s, silenceZone("b", 1))}},
			zoneReturn,
		},
		{"zone-return-crash", 3, fastTimings, []step{
			{0, lowPriorityArrays(8)},
			{8 * s, during(40*s, silenceZone("b", 1))},
			{20 * s, crashLeader(5 * s)},
		}, zoneReturn},
		{"owners", 3, fastTimings, []step{{30 * s, submissionStorm(20 * s)}, {40 * s, cancelJobs(3, 0)}}, everyoneOwns},
		{
			"owners-follower-crash",
			3,
			fastTimings,
			[]step{{20 * s, crashFollower(25 * s)}, {21 * s, cancelJobs(2, 0)}},
			everyoneOwns,
		},
		{
			"owners-link-cut",
			5,
			fastTimings,
			[]step{{20 * s, during(20*s, blockLeaderLink)}, {21 * s, cancelJobs(3, 0)}},
			everyoneOwns,
		},
		{"owners-mixed", 3, fastTimings, []step{{20 * s, cancelJobs(3, 0)}, {25 * s, crashLeader(20 * s)}}, oneOwns},
	}
}

// interfaceOf names the interface that a packet goes over.
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

// digestTraffic returns a line a second and interface: how many packets arrived, and a digest over when each arrived,
// between which hosts, and what was in it.
func digestTraffic(all []packetArrival) string {
	type slot struct {
		second time.Duration
		name   string
	}
	type digest struct {
		packets int
		sum     uint64
	}
	const prime = 1099511628211 // of FNV
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

// TestRecordTraffic records the traffic of every scenario for a comparison of two commits. It is left out without the
// variable that names the folder: by itself a record is neither right nor wrong.
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
			all := recordArrivals(t, uint64(1000+i), x.controllers, x.workers, x.steps, x.options...)
			if err := os.WriteFile(filepath.Join(dir, x.name+".txt"), []byte(digestTraffic(all)), 0o644); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestTrafficDigestFindsOneByte: the digest of a run in which one byte of one packet is another differs in that line
// and in no other.
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
		t.Fatalf("%d lines and %d lines", len(before), len(after))
	}
	var different []int
	for i := range before {
		if before[i] != after[i] {
			different = append(different, i)
		}
	}
	if len(different) != 1 || !strings.HasPrefix(before[different[0]], "  10 s ") {
		t.Errorf("lines that differ: %v", different)
	}
	if again := record(0); !slices.Equal(before, again) {
		t.Error("the same traffic has another digest")
	}
}
