// Command soak runs real nodes under faults and checks what callers and backend
// servers see. Package soak describes the faults and checks.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/teaselseam/teaselseam/internal/soak"
)

type cli struct {
	Daemon         string        `help:"Path of teaselseamd." default:"bin/teaselseamd"`
	Seed           uint64        `help:"First seed; 0 picks a random one."`
	Runs           int           `help:"Number of runs, each with the next seed." default:"1"`
	Nodes          int           `help:"Number of nodes; each is a process." default:"6"`
	Faults         time.Duration `help:"How long faults are injected." default:"20s"`
	ParallelFaults int           `help:"Number of faults injected at the same time." name:"at-once" default:"2"`
	Planned        bool          `help:"Run planned operations only, without faults."`
	Verbose        bool          `help:"Print each fault and planned operation."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("soak"), kong.Description("Run real nodes under faults and check what callers and backend servers see."))
	k.FatalIfErrorf(c.run())
}

func (c *cli) run() error {
	if c.Seed == 0 {
		c.Seed = rand.Uint64() >> 32
	}
	failed := 0
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		dir := filepath.Join(os.TempDir(), fmt.Sprintf("teaselseam-soak-%d-%d", seed, os.Getpid()))
		findings, err := soak.Run(soak.Config{
			Daemon: c.Daemon, Seed: seed, Nodes: c.Nodes, FaultDuration: c.Faults, ParallelFaults: c.ParallelFaults, Dir: dir, PlannedOnly: c.Planned,
			Log: c.log,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d findings\n", seed, len(findings))
		for j, f := range findings {
			if j == 10 {
				fmt.Printf("  and %d more findings\n", len(findings)-j)
				break
			}
			fmt.Println(" ", f)
		}
		if len(findings) > 0 {
			failed++
			fmt.Println("  settings and logs are kept in", dir)
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs have findings", failed, c.Runs)
	}
	return nil
}

func (c *cli) log(format string, args ...any) {
	if c.Verbose {
		fmt.Printf("%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
	}
}
