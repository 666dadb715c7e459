package controller

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"

	"frostpier/internal/control/rollout"
)

// Environment variables of a gateway. The path of the configuration identifies its process.
const (
	configVariable   = "GW_CONFIG"
	nameVariable     = "GW_NAME"
	listenVariable   = "GW_LISTEN"
	operatorVariable = "FROSTPIER_OPERATOR"
)

// processes finds, starts and stops the processes of gateways. It recognizes a gateway's process by the path of the configuration in
// its environment. That works for a process that was started by another controller or by hand, and for one that hangs.
type processes struct {
	dir      string // directory of the controller's state
	gateways []Gateway
	versions map[string]rollout.Version
	pids     map[int]int // last known process, by gateway index
}

// process describes the process of a gateway.
type process struct {
	pid        int  // 0 = no process
	reloadable bool // it uses the operator's file that the controller writes, so that new settings need no restart
}

func newProcesses(dir string, c CheckedPlan) *processes {
	return &processes{
		dir:      dir,
		gateways: c.Fleet.Gateways,
		versions: map[string]rollout.Version{rollout.OldVersion: c.Plan.Old, rollout.NewVersion: c.Plan.New},
		pids:     map[int]int{},
	}
}

// operatorPath returns the path of a gateway's operator's file. Each gateway has its own file, since settings differ by version.
func (p *processes) operatorPath(gateway int) string {
	return filepath.Join(p.dir, "operators", p.gateways[gateway].Name+".toml")
}

// find returns the processes of all gateways, by index. It looks at the last known processes first, and searches /proc only for
// the others.
func (p *processes) find() []process {
	found := make([]process, len(p.gateways))
	missing := map[string]int{} // gateway index by configuration path
	for i, g := range p.gateways {
		if pid := p.pids[i]; pid > 0 {
			if known, ok := p.inspect(pid, i); ok {
				found[i] = known
				continue
			}
			delete(p.pids, i)
		}
		missing[g.Config] = i
	}
	if len(missing) > 0 {
		p.search(missing, found)
	}
	return found
}

// search scans /proc for the processes of the missing gateways, and stores them in found.
func (p *processes) search(missing map[string]int, found []process) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return
	}
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil || pid == os.Getpid() {
			continue
		}
		config, _ := readEnvironment(pid)
		gateway, wanted := missing[config]
		if !wanted || found[gateway].pid > 0 {
			continue
		}
		if candidate, ok := p.inspect(pid, gateway); ok {
			found[gateway] = candidate
			p.pids[gateway] = pid
		}
	}
}

// inspect reads the environment of a process, and reports whether it belongs to the gateway.
func (p *processes) inspect(pid, gateway int) (process, bool) {
	config, operator := readEnvironment(pid)
	return process{pid, operator == p.operatorPath(gateway)}, config == p.gateways[gateway].Config
}

// readEnvironment returns the paths of the configuration and of the operator's file from the environment of a process. Both are empty
// if the process has ended or belongs to another user.
func readEnvironment(pid int) (config, operator string) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return "", ""
	}
	for pair := range bytes.SplitSeq(text, []byte{0}) {
		if v, ok := bytes.CutPrefix(pair, []byte(configVariable+"=")); ok {
			config = string(v)
		}
		if v, ok := bytes.CutPrefix(pair, []byte(operatorVariable+"=")); ok {
			operator = string(v)
		}
	}
	return config, operator
}

// installSettings atomically replaces a gateway's operator's file with that of a version.
func (p *processes) installSettings(gateway int, version string) error {
	text, err := os.ReadFile(p.versions[version].Operator)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	path := p.operatorPath(gateway)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	if err := replaceFile(path, text, 0o644); err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	return nil
}

// openLog opens the log file of a gateway's process for appending.
func (p *processes) openLog(gateway int) (*os.File, error) {
	logs := filepath.Join(p.dir, "logs")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(logs, p.gateways[gateway].Name+".log")
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

// start starts a gateway on a version. The process keeps running when the controller ends.
func (p *processes) start(gateway int, version string) error {
	if err := p.installSettings(gateway, version); err != nil {
		return err
	}
	log, err := p.openLog(gateway)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own copy of the descriptor
	g, v := p.gateways[gateway], p.versions[version]
	cmd := exec.Command(v.Program, v.Args...)
	cmd.Env = append(os.Environ(), v.Env...)
	cmd.Env = append(cmd.Env, configVariable+"="+g.Config, nameVariable+"="+g.Name, listenVariable+"=",
		operatorVariable+"="+p.operatorPath(gateway))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gateway %s: %w", g.Name, err)
	}
	go func() { _ = cmd.Wait() }() // reap the process: find would still see a zombie
	return nil
}

// reload installs the settings of a version and signals the process to reload them.
func (p *processes) reload(gateway int, version string, pid int) error {
	if err := p.installSettings(gateway, version); err != nil {
		return err
	}
	return p.signal(gateway, pid, syscall.SIGHUP)
}

var errProcessEnded = errors.New("the process has ended")

// signal sends a signal to a gateway's process. It fails with errProcessEnded if pid no longer belongs to the gateway, since the system
// may have reused it for another process.
func (p *processes) signal(gateway, pid int, s syscall.Signal) error {
	if _, ok := p.inspect(pid, gateway); !ok {
		return fmt.Errorf("gateway %s: %w", p.gateways[gateway].Name, errProcessEnded)
	}
	return syscall.Kill(pid, s)
}

// FindProcesses returns the process IDs of all gateways, by index; 0 means that the gateway is not running.
func FindProcesses(f Fleet) (pids []int) {
	p := &processes{gateways: f.Gateways, pids: map[int]int{}}
	for _, found := range p.find() {
		pids = append(pids, found.pid)
	}
	return pids
}
