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

// Variables of a gateway's environment. The configuration identifies its process.
const (
	configVariable   = "GW_CONFIG"
	nameVariable     = "GW_NAME"
	listenVariable   = "GW_LISTEN"
	operatorVariable = "FROSTPIER_OPERATOR"
)

// processes finds, starts and stops the processes of gateways. A gateway's process is known by the configuration in its
// environment: so it is found whoever started it, also by a controller that was just started, and also if it hangs.
type processes struct {
	dir      string // of the controller's state
	gateways []Gateway
	versions map[string]rollout.Version
	pids     map[int]int // the process found last, by gateway
}

// process is what was found of a gateway's process.
type process struct {
	pid        int  // 0 = there is none
	reloadable bool // its operator's file is the one that the controller writes: new settings need no restart
}

func newProcesses(dir string, c CheckedPlan) *processes {
	return &processes{
		dir:      dir,
		gateways: c.Fleet.Gateways,
		versions: map[string]rollout.Version{rollout.OldVersion: c.Plan.Old, rollout.NewVersion: c.Plan.New},
		pids:     map[int]int{},
	}
}

// operatorPath returns the path of a gateway's operator's file. Each has its own, so that settings can differ.
func (p *processes) operatorPath(gateway int) string {
	return filepath.Join(p.dir, "operators", p.gateways[gateway].Name+".toml")
}

// find returns the processes of all gateways, by their numbers. Those found last time are tried first, and /proc is searched for
// the others.
func (p *processes) find() []process {
	found := make([]process, len(p.gateways))
	missing := map[string]int{} // gateways by their configuration
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

// search scans /proc for the processes of the gateways with these configurations.
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

// inspect reads a process's environment, and reports whether it is the gateway's.
func (p *processes) inspect(pid, gateway int) (process, bool) {
	config, operator := readEnvironment(pid)
	return process{pid, operator == p.operatorPath(gateway)}, config == p.gateways[gateway].Config
}

// readEnvironment returns the configuration and operator's file with which a process was started; nothing for one that has ended or is
// another user's.
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

// installSettings replaces a gateway's operator's file with that of a version, atomically.
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

// openLog opens the file to which a gateway's process logs.
func (p *processes) openLog(gateway int) (*os.File, error) {
	logs := filepath.Join(p.dir, "logs")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(logs, p.gateways[gateway].Name+".log")
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

// start starts a gateway's process on a version. The process outlives the controller.
func (p *processes) start(gateway int, version string) error {
	if err := p.installSettings(gateway, version); err != nil {
		return err
	}
	log, err := p.openLog(gateway)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
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
	go func() { _ = cmd.Wait() }() // reaps it: a zombie would still be found
	return nil
}

// reload installs a version's settings and has the process read them.
func (p *processes) reload(gateway int, version string, pid int) error {
	if err := p.installSettings(gateway, version); err != nil {
		return err
	}
	return p.signal(gateway, pid, syscall.SIGHUP)
}

var errProcessEnded = errors.New("its process has ended")

// signal sends a signal to a gateway's process. It fails with errProcessEnded if the process is no longer the gateway's: the system
// may have reused its id.
func (p *processes) signal(gateway, pid int, s syscall.Signal) error {
	if _, ok := p.inspect(pid, gateway); !ok {
		return fmt.Errorf("gateway %s: %w", p.gateways[gateway].Name, errProcessEnded)
	}
	return syscall.Kill(pid, s)
}

// FindProcesses returns the ids of the gateways' processes, by their numbers; 0 where there is none.
func FindProcesses(f Fleet) (pids []int) {
	p := &processes{gateways: f.Gateways, pids: map[int]int{}}
	for _, found := range p.find() {
		pids = append(pids, found.pid)
	}
	return pids
}
