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
	"time"

	"frostpier/internal/control/rollout"
)

// procs finds, starts and ends the processes of gateways. A gateway's process is known by the configuration that its
// environment names: so it is found whoever started it, also by a controller that knows nothing, and also if it hangs.
type procs struct {
	dir      string // of the controller's state
	gateways []Gateway
	versions map[string]rollout.Version
	known    map[int]int // the process last found, by gateway
}

// process is what was found of a gateway's.
type process struct {
	pid  int
	live bool // its operator's file is the one that the controller writes: new settings need no start
}

// operatorPath is the operator's file of one gateway: each has its own, so that settings can differ between them.
func (p *procs) operatorPath(i int) string {
	return filepath.Join(p.dir, "operators", p.gateways[i].Name+".toml")
}

// look finds the processes of all gateways.
func (p *procs) look() []process {
	out := make([]process, len(p.gateways))
	byConfig := map[string]int{}
	for i, g := range p.gateways {
		if pid := p.known[i]; pid > 0 {
			if found, ok := p.read(pid, i); ok {
				out[i] = found
				continue
			}
			delete(p.known, i)
		}
		byConfig[g.Config] = i
	}
	if len(byConfig) == 0 {
		return out
	}
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return out
	}
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil || pid == os.Getpid() {
			continue
		}
		config, _ := environ(pid)
		i, wanted := byConfig[config]
		if !wanted || out[i].pid > 0 {
			continue
		}
		if found, ok := p.read(pid, i); ok {
			out[i] = found
			p.known[i] = pid
		}
	}
	return out
}

// read looks at one process.
func (p *procs) read(pid, i int) (process, bool) {
	config, operator := environ(pid)
	return process{pid, operator == p.operatorPath(i)}, config == p.gateways[i].Config
}

// environ reads what a process was started with; nothing for one that has ended, or is another user's.
func environ(pid int) (config, operator string) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return "", ""
	}
	for pair := range bytes.SplitSeq(text, []byte{0}) {
		if v, ok := bytes.CutPrefix(pair, []byte("GW_CONFIG=")); ok {
			config = string(v)
		}
		if v, ok := bytes.CutPrefix(pair, []byte("FROSTPIER_OPERATOR=")); ok {
			operator = string(v)
		}
	}
	return config, operator
}

// place puts a version's operator's file in place for a gateway: whole or not at all.
func (p *procs) place(i int, version string) error {
	text, err := os.ReadFile(p.versions[version].Operator)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	path := p.operatorPath(i)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	return os.Rename(path+".new", path)
}

// start starts a gateway's process on a version. It outlives the controller, and its log goes to a file of its own.
func (p *procs) start(i int, version string) error {
	if err := p.place(i, version); err != nil {
		return err
	}
	logs := filepath.Join(p.dir, "logs")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(logs, p.gateways[i].Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	v := p.versions[version]
	cmd := exec.Command(v.Program, v.Args...)
	cmd.Env = append(append(os.Environ(), v.Env...), "GW_CONFIG="+p.gateways[i].Config, "GW_NAME="+p.gateways[i].Name,
		"GW_LISTEN=", "FROSTPIER_OPERATOR="+p.operatorPath(i))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gateway %s: %w", p.gateways[i].Name, err)
	}
	go cmd.Wait() // else its end would not show while the controller runs
	return nil
}

// reload puts settings in place and has the process read them.
func (p *procs) reload(i int, version string, pid int) error {
	if err := p.place(i, version); err != nil {
		return err
	}
	return p.signal(i, pid, syscall.SIGHUP)
}

var errGone = errors.New("its process has ended")

// signal sends a signal to a gateway's process, if that still is it: a number may belong to another by now.
func (p *procs) signal(i, pid int, s syscall.Signal) error {
	if _, ok := p.read(pid, i); !ok {
		return fmt.Errorf("gateway %s: %w", p.gateways[i].Name, errGone)
	}
	return syscall.Kill(pid, s)
}

// Up starts the gateways that do not run, on the plan's old version, and returns how many those were.
func Up(dir string, c Checked) (started int, err error) {
	if dir, err = filepath.Abs(dir); err != nil {
		return 0, err
	}
	p := fleetProcs(dir, c)
	for i, found := range p.look() {
		if found.pid > 0 {
			continue
		}
		if err := p.start(i, rollout.OldVersion); err != nil {
			return started, err
		}
		started++
	}
	return started, nil
}

func fleetProcs(dir string, c Checked) *procs {
	return &procs{dir: dir, gateways: c.Fleet.Gateways, known: map[int]int{},
		versions: map[string]rollout.Version{rollout.OldVersion: c.Plan.Old, rollout.NewVersion: c.Plan.New}}
}

// Processes are the processes of a fleet's gateways, by their numbers; 0 where there is none.
func Processes(f Fleet) (pids []int) {
	for _, found := range (&procs{gateways: f.Gateways, known: map[int]int{}}).look() {
		pids = append(pids, found.pid)
	}
	return pids
}

// Rolling stops each gateway in turn and starts it on the new version, each so long after the last, without a look at how
// it does: the plain way, to compare with.
func Rolling(dir string, c Checked, each time.Duration) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	p := fleetProcs(dir, c)
	for _, list := range c.Plan.Order(len(c.Fleet.Gateways)) {
		for _, i := range list {
			if found := p.look()[i]; found.pid > 0 {
				if err := p.signal(i, found.pid, syscall.SIGTERM); err != nil && !errors.Is(err, errGone) {
					return err
				}
				for end := time.Now().Add(time.Duration(c.Plan.Change.StopSeconds * float64(time.Second))); p.look()[i].pid == found.pid; {
					if time.Now().After(end) {
						p.signal(i, found.pid, syscall.SIGKILL)
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
			if err := p.start(i, rollout.NewVersion); err != nil {
				return err
			}
			time.Sleep(each)
		}
	}
	return nil
}
