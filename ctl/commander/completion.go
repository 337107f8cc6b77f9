package commander

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

type completionCommand struct {
	Shell string `arg:"positional,required" help:"bash, zsh or fish"`
}

// ErrNoSuchShell reports that completion is not supported for a shell.
type ErrNoSuchShell struct{ Shell string }

func (e ErrNoSuchShell) Error() string {
	return fmt.Sprintf("no completion for shell %q: must be bash, zsh or fish", e.Shell)
}

// completionWords lists the commands in the arg tags of a struct, and the flags in
// the tags of the struct and its commands.
func completionWords(t reflect.Type) (flags, commands []string) {
	for field := range t.Fields() {
		for option := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			if strings.HasPrefix(option, "--") {
				flags = append(flags, option)
			}
			if name, ok := strings.CutPrefix(option, "subcommand:"); ok {
				commandFlags, _ := completionWords(field.Type.Elem())
				flags = append(flags, commandFlags...)
				commands = append(commands, name)
			}
		}
	}
	return flags, commands
}

// completion prints a script that completes commands and flags. It offers every
// flag with every command.
func (s *session) completion() error {
	flags, commands := completionWords(reflect.TypeFor[arguments]())
	flags = append(flags, "--help", "--version")
	slices.Sort(flags)
	slices.Sort(commands)
	all := strings.Join(append(commands, slices.Compact(flags)...), " ")
	scripts := map[string]string{
		"bash": "complete -o default -W '" + all + "' samphirectl",
		"zsh":  "#compdef samphirectl\ncompadd -- " + all + "\n_files",
		"fish": "complete -c samphirectl -a '" + all + "'",
	}
	script, ok := scripts[s.Completion.Shell]
	if !ok {
		return ErrNoSuchShell{Shell: s.Completion.Shell}
	}
	_, err := fmt.Fprintln(s.out, script)
	return err
}
