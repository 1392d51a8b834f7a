package main

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"github.com/teaselseam/teaselseam/platform"
)

type checkCmd struct {
	Settings string `arg:"" optional:"" type:"existingfile" help:"Settings file written by the platform."`
	Deploy   string `help:"Deploy file." default:"deploy/system.toml" type:"path"`
}

// Run prints all problems, one per line, and fails if there are any.
func (c *checkCmd) Run() error {
	problems := checkDeploy(c.Deploy)
	if c.Settings != "" {
		data, err := os.ReadFile(c.Settings)
		if err != nil {
			return err
		}
		for _, p := range platform.CheckSettings(data) {
			problems = append(problems, c.Settings+": "+p)
		}
	}
	for _, p := range problems {
		fmt.Println(p)
	}
	if len(problems) > 0 {
		return fmt.Errorf("found %d problems", len(problems))
	}
	fmt.Println("ok")
	return nil
}

// deployFile is the content of a deploy file. It has all fields that are allowed.
type deployFile struct {
	Build string `toml:"build"`
	Roles map[string]struct {
		Run     string   `toml:"run"`
		On      string   `toml:"on"`
		Serves  []string `toml:"serves"`
		Metrics string   `toml:"metrics"`
	} `toml:"roles"`
}

// checkDeploy returns all problems of a deploy file.
func checkDeploy(file string) []string {
	var d deployFile
	meta, err := toml.DecodeFile(file, &d)
	if err != nil {
		return []string{file + ": " + err.Error()}
	}
	var out []string
	add := func(format string, args ...any) { out = append(out, file+": "+fmt.Sprintf(format, args...)) }
	if d.Build == "" {
		add("build is missing; set it to the command that builds the programs in target/")
	}
	if len(d.Roles) == 0 {
		add("there are no roles; add [roles.sidecar] with run, on and serves")
	}
	for name, r := range d.Roles {
		if r.Run == "" || r.On == "" || len(r.Serves) == 0 {
			add("role %q lacks run, on or serves", name)
		}
		if r.Metrics == "" {
			add("role %q has no metrics; set it to \"PORT/metrics\" with the first port of the node's port range", name)
		}
	}
	for _, k := range meta.Undecoded() {
		add("key %q is not known; remove it or correct its name", k.String())
	}
	return out
}
