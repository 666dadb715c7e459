package rollout

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Plan is a change as an operator writes it in a TOML file. ParsePlan reads it, sets the defaults and validates it. The keys of
// its JSON form are fixed: operators' scripts read it.
type Plan struct {
	Name    string   `toml:"name" json:"Name"`       // unique among all changes
	Fleet   string   `toml:"fleet" json:"Fleet"`     // as in the operator's file
	Listen  string   `toml:"listen" json:"Listen"`   // UDP address to which gateways report
	Reports string   `toml:"reports" json:"Reports"` // rollout.report_to of the operator's files; empty = Listen
	Configs string   `toml:"configs" json:"Configs"` // a glob of the gateways' configurations, as "etc/gateways/*.json"
	Stages  []string `toml:"stages" json:"Stages"`   // each a count of gateways, as "1", or a share, as "10%"; the last is all
	Old     Version  `toml:"old" json:"Old"`
	New     Version  `toml:"new" json:"New"`
	Watch   Watch    `toml:"watch" json:"Watch"`
	Change  Change   `toml:"change" json:"Change"`
	Judge   Judge    `toml:"judge" json:"Judge"`
	Checks  []Check  `toml:"check" json:"Checks"`
}

// Version is a program with its operator's file.
type Version struct {
	Program  string   `toml:"program" json:"Program"`   // path of the executable
	Args     []string `toml:"args" json:"Args"`         // the program itself needs none
	Env      []string `toml:"env" json:"Env"`           // NAME=value, added to the controller's own environment
	Operator string   `toml:"operator" json:"Operator"` // path of the operator's file
}

// Watch sets how long a stage is watched.
type Watch struct {
	MinSeconds float64 `toml:"least_s" json:"LeastS"` // 0 = 30
	MaxSeconds float64 `toml:"most_s" json:"MostS"`   // 0 = 300

	// OnInconclusive is what happens to a stage that is still inconclusive after MaxSeconds: HoldInconclusive, also where it is
	// empty, or RollBackInconclusive.
	OnInconclusive string `toml:"unknown" json:"Unknown"`
}

// What happens to a stage that is inconclusive after the longest watch.
const (
	HoldInconclusive     = "hold"
	RollBackInconclusive = "back"
)

// Change sets how gateways are changed.
type Change struct {
	MaxUnavailable       int     `toml:"down_at_once" json:"DownAtOnce"` // gateways out of service for the change at once; 0 = 1
	ReadyTimeoutSeconds  float64 `toml:"ready_s" json:"ReadyS"`          // from a start to the first report of serving; 0 = 20
	StopTimeoutSeconds   float64 `toml:"stop_s" json:"StopS"`            // from SIGTERM to SIGKILL; 0 = 10
	ReportTimeoutSeconds float64 `toml:"silent_s" json:"SilentS"`        // without a report, after which a gateway is silent; 0 = 5
}

// Judge sets when a stage does worse than the old version, and when it is known that it does not.
type Judge struct {
	// FalseAlarmProbability is the probability that a change no worse than the old version is stopped; 0 = 0.02.
	FalseAlarmProbability float64 `toml:"false_alarm" json:"FalseAlarm"`

	// AllowedRegression is the share of answers by which a class may do worse; 0 = 0.02.
	AllowedRegression float64 `toml:"worse" json:"Worse"`

	// NonInferiorityMargin is the share by which all classes together must be known not to do worse, to go on; 0 = 0.15.
	NonInferiorityMargin float64 `toml:"not_worse" json:"NotWorse"`

	MinAnswers int `toml:"least_answers" json:"LeastAnswers"` // of each class by new gateways, to go on; 0 = 5
	MinChecks  int `toml:"least_checks" json:"LeastChecks"`   // correct results of checks, to go on; 0 = 200 if there are checks

	// A new gateway's memory may be up to MemoryFactor times the median old gateway's, and ExtraMemoryMB more.
	MemoryFactor  float64 `toml:"memory_times" json:"MemoryTimes"` // 0 = 1.6
	ExtraMemoryMB float64 `toml:"memory_mb" json:"MemoryMB"`       // 0 = 24

	// MaxCrashes is how many crashes of new gateways in a stage stop it, beyond the old gateways' rate; 0 = 2.
	MaxCrashes int `toml:"crashes" json:"Crashes"`
}

// Check is a query whose result is known: the controller sends it to gateways repeatedly.
type Check struct {
	Class      string `toml:"class" json:"Class"`
	Statement  string `toml:"statement" json:"Statement"`
	Expect     string `toml:"expect" json:"Expect"`      // the result; {rid} in it stands for the query's id
	IntervalMS int64  `toml:"every_ms" json:"EveryMS"`   // between two checks of one gateway; 0 = 50
	BudgetMS   int64  `toml:"budget_ms" json:"BudgetMS"` // of a query; 0 = 4000
}

// stageSize returns how many gateways are on the new version when a stage is complete.
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

// order returns the gateways in the order in which they are changed. It is random, so that the gateways of a stage are a fair
// sample, and seeded with the change's name, so that every controller computes the same.
func (p *Plan) order(gateways int) []int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Name)) // never fails
	return rand.New(rand.NewPCG(h.Sum64(), uint64(gateways))).Perm(gateways)
}

// StageGateways returns the gateways that each stage changes, in order.
func (p *Plan) StageGateways(gateways int) (stages [][]int) {
	order := p.order(gateways)
	previous := 0
	for _, stage := range p.Stages {
		size, _ := stageSize(stage, gateways) // ParsePlan has checked it
		stages = append(stages, order[previous:size])
		previous = size
	}
	return stages
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
