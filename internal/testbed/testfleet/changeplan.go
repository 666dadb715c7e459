package testfleet

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"frostpier/internal/controller"
	"frostpier/internal/testbed/emulator"
)

// changeOperator is the operator's file of both versions. Its arguments are the fleet's name, the address for reports, and
// additional sections.
const changeOperator = `[membership]
fleet = "%s"
interval_ms = 500

[spread]

[rollout]
report_to = "%s"
report_ms = 250
%s`

// changePlan is the template of the controller's plan; see planText.
const changePlan = `name = "change-%d"
fleet = "%s"
listen = "%s"
reports = "%s"
configs = "%s"
stages = [%s]

[old]
program = "%s"
args = [%s]
env = [%s]
operator = "%s"

[new]
program = "%s"
args = [%s]
env = [%s]
operator = "%s"

[watch]
least_s = %g
most_s = %g

[change]
ready_s = 8
stop_s = 6
silent_s = 3

[judge]
least_answers = 3

[[check]]
class = "lookup"
statement = "%s"
expect = "row\t{rid}\tof 1\n"
every_ms = 40
`

// writePlan writes the files of both versions and the plan, and checks the plan with the controller's own code.
func (c *Change) writePlan() error {
	configs, err := c.Fleet.WriteConfigs()
	if err != nil {
		return err
	}
	newProgram, err := c.newProgram()
	if err != nil {
		return err
	}
	if err := c.writeOperatorFiles(); err != nil {
		return err
	}
	listen, err := freeUDPAddr(loopbackAddr(c.options.Seed))
	if err != nil {
		return err
	}
	text := c.planText(listen, configs, newProgram)
	if err := os.WriteFile(c.PlanPath, []byte(text), 0o600); err != nil {
		return err
	}
	if c.CheckedPlan, err = controller.CheckPlan([]byte(text)); err != nil {
		return err
	}
	return c.reportProxy.setController(listen)
}

// newProgram returns the path of the new version's program. For a change of settings it is the old program. Otherwise it is
// a copy with a few unused bytes appended, so that the two versions differ.
func (c *Change) newProgram() (string, error) {
	oldProgram := c.options.Program[0]
	if c.options.Settings != "" {
		return oldProgram, nil
	}
	text, err := os.ReadFile(oldProgram)
	if err != nil {
		return "", err
	}
	path := c.path("new-program")
	return path, os.WriteFile(path, append(text, fmt.Sprintf("change %d", c.options.Seed)...), 0o755)
}

// Names of the operator's files in the directory of the change.
const (
	oldOperatorFile = "old.toml"
	newOperatorFile = "new.toml"
)

func (c *Change) writeOperatorFiles() error {
	write := func(name, sections string) error {
		return os.WriteFile(c.path(name), fmt.Appendf(nil, changeOperator, FleetName, c.reportProxy.addr(), sections), 0o600)
	}
	if err := write(oldOperatorFile, ""); err != nil {
		return err
	}
	return write(newOperatorFile, c.options.Settings)
}

// planText returns the plan for a controller that receives reports at the address listen. configs is a glob pattern of the
// gateways' configurations.
func (c *Change) planText(listen, configs, newProgram string) string {
	opt := c.options
	newEnv := opt.Env
	if opt.Fault != "" {
		newEnv = append(slices.Clone(newEnv), emulator.FaultEnv(opt.Fault)...)
	}
	statement := emulator.Statement(emulator.Query{Work: 0.01, Threads: 1, IO: 0.1, MemoryMB: 1, Group: 1})
	args := tomlStrings(opt.Program[1:])
	return fmt.Sprintf(changePlan, opt.Seed, FleetName, listen, c.reportProxy.addr(), configs, tomlStrings(opt.Stages),
		opt.Program[0], args, tomlStrings(opt.Env), c.path(oldOperatorFile),
		newProgram, args, tomlStrings(newEnv), c.path(newOperatorFile),
		opt.MinWatchSeconds, opt.MaxWatchSeconds, statement)
}

// path returns the path of a file in the directory of the change.
func (c *Change) path(name string) string { return filepath.Join(c.options.Dir, name) }

// tomlStrings returns the elements of a TOML array of strings.
func tomlStrings(list []string) string {
	var quoted []string
	for _, s := range list {
		quoted = append(quoted, fmt.Sprintf("%q", s))
	}
	return strings.Join(quoted, ", ")
}

// freeUDPAddr returns a free UDP port of addr, as host:port. On loopbackAddr it is unlikely that another program takes the
// port before the controller listens there.
func freeUDPAddr(addr netip.Addr) (string, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)))
	if err != nil {
		return "", err
	}
	listen := conn.LocalAddr().String()
	return listen, conn.Close()
}
