package rollout

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Plan describes a change. An operator writes it as a TOML file; ParsePlan parses it, sets the defaults and validates it. The
// JSON keys must not change, as operators' scripts read them.
type Plan struct {
	Name    string       `toml:"name" json:"Name"`       // unique among all changes
	Fleet   string       `toml:"fleet" json:"Fleet"`     // fleet name, as in the operator's file
	Listen  string       `toml:"listen" json:"Listen"`   // UDP address on which the controller receives reports
	Reports string       `toml:"reports" json:"Reports"` // address that the operator's files have as rollout.report_to; default Listen
	Configs string       `toml:"configs" json:"Configs"` // glob of the gateways' configuration files, as in "etc/gateways/*.json"
	Stages  []string     `toml:"stages" json:"Stages"`   // total of new gateways after each stage, as in "1" or "10%"; the last is all
	Old     Version      `toml:"old" json:"Old"`
	New     Version      `toml:"new" json:"New"`
	Watch   Watch        `toml:"watch" json:"Watch"`
	Change  ChangeLimits `toml:"change" json:"Change"`
	Judge   Judge        `toml:"judge" json:"Judge"`
	Checks  []Check      `toml:"check" json:"Checks"`
}

// Version is a gateway executable and the operator's file that it runs with.
type Version struct {
	Program  string   `toml:"program" json:"Program"`   // path of the executable
	Args     []string `toml:"args" json:"Args"`         // command line arguments; the gateway needs none
	Env      []string `toml:"env" json:"Env"`           // NAME=value, added to the environment of the controller
	Operator string   `toml:"operator" json:"Operator"` // path of the operator's file
}

// Watch sets the duration of the analysis window of a stage.
type Watch struct {
	MinSeconds float64 `toml:"least_s" json:"LeastS"` // default 30
	MaxSeconds float64 `toml:"most_s" json:"MostS"`   // default 300

	// OnInconclusive is the reaction to a stage that is still inconclusive after MaxSeconds: HoldInconclusive (the default) or
	// RollBackInconclusive.
	OnInconclusive string `toml:"unknown" json:"Unknown"`
}

// Values of Watch.OnInconclusive.
const (
	HoldInconclusive     = "hold"
	RollBackInconclusive = "back"
)

// ChangeLimits sets the limits for replacing gateways.
type ChangeLimits struct {
	MaxUnavailable       int     `toml:"down_at_once" json:"DownAtOnce"` // gateways that the change takes out of service at once; default 1
	ReadyTimeoutSeconds  float64 `toml:"ready_s" json:"ReadyS"`          // from the start of a process until it reports that it serves; default 20
	StopTimeoutSeconds   float64 `toml:"stop_s" json:"StopS"`            // from SIGTERM until SIGKILL; default 10
	ReportTimeoutSeconds float64 `toml:"silent_s" json:"SilentS"`        // since the last report until a gateway counts as silent; default 5
}

// Judge sets when a stage counts as a regression, and when enough is known to complete it.
type Judge struct {
	// FalseAlarmProbability is the probability of rolling back a change that is no worse than the old version; default 0.02.
	FalseAlarmProbability float64 `toml:"false_alarm" json:"FalseAlarm"`

	// AllowedRegression is the increase of a metric's share in one class that is tolerated; default 0.02.
	AllowedRegression float64 `toml:"worse" json:"Worse"`

	// NonInferiorityMargin is the increase in the share of queries not served in time, over all classes, that must be ruled out
	// to complete a stage; default 0.15.
	NonInferiorityMargin float64 `toml:"not_worse" json:"NotWorse"`

	MinAnswers int `toml:"least_answers" json:"LeastAnswers"` // answers of new gateways in each class that a stage needs to complete; default 5
	MinChecks  int `toml:"least_checks" json:"LeastChecks"`   // correct check results that a stage needs to complete; default 200 if there are checks

	// The memory of a new gateway may be up to MemoryFactor times the old gateways' median, plus ExtraMemoryMB.
	MemoryFactor  float64 `toml:"memory_times" json:"MemoryTimes"` // default 1.6
	ExtraMemoryMB float64 `toml:"memory_mb" json:"MemoryMB"`       // default 24

	// MaxCrashes is the number of crashes of new gateways in a stage, beyond the old gateways' crash rate, that rolls it back; default 2.
	MaxCrashes int `toml:"crashes" json:"Crashes"`
}

// Check is a synthetic check: a query with a known result that the controller repeatedly sends to gateways.
type Check struct {
	Class      string `toml:"class" json:"Class"`
	Statement  string `toml:"statement" json:"Statement"`
	Expect     string `toml:"expect" json:"Expect"`      // expected result; {rid} stands for the request ID
	IntervalMS int64  `toml:"every_ms" json:"EveryMS"`   // between two checks at the same gateway; default 50
	BudgetMS   int64  `toml:"budget_ms" json:"BudgetMS"` // time budget of the query; default 4000
}

// stageSize returns the total number of gateways on the new version after a stage, from its count or share in the plan.
func stageSize(stage string, gateways int) (int, error) {
	number, isShare := strings.CutSuffix(stage, "%")
	v, err := strconv.ParseFloat(number, 64)
	isCount := v == float64(int(v))
	if err != nil || !(v > 0) || isShare && v > 100 || !isShare && !isCount {
		return 0, fmt.Errorf("%q is neither a count nor a share", stage)
	}
	if isShare {
		return max(1, int(v/100*float64(gateways)+0.5)), nil
	}
	return min(int(v), gateways), nil
}

// changeOrder returns the gateway numbers in the order in which they are changed. The order is random, so that the gateways of a
// stage are an unbiased sample, and seeded with the change's name, so that a controller that resumes the change computes it again.
func (p *Plan) changeOrder(gateways int) []int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Name)) // a hash.Hash never returns an error
	return rand.New(rand.NewPCG(h.Sum64(), uint64(gateways))).Perm(gateways)
}

// StageGateways returns the gateway numbers that each stage changes, in the order of the changes.
func (p *Plan) StageGateways(gateways int) (stages [][]int) {
	order := p.changeOrder(gateways)
	previous := 0
	for _, stage := range p.Stages {
		size, _ := stageSize(stage, gateways) // validated by ParsePlan
		stages = append(stages, order[previous:size])
		previous = size
	}
	return stages
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
