package ctl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/operator"
)

// keyPrefix starts every key, so that leaked keys can be found by searching for it.
const keyPrefix = "ferry_"

func (a *app) keyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "key",
		ShortUsage:  a.program + " key <create | withdraw> [flags]",
		ShortHelp:   "Creates and withdraws customer keys.",
		FlagSet:     newFlagSet("key"),
		Subcommands: []*ffcli.Command{a.keyCreateCommand(), a.keyWithdrawCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// createdKey is the result of creating a key.
type createdKey struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	// Key is the key in plain text. It is printed once and not stored.
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

func (a *app) keyCreateCommand() *ffcli.Command {
	fs := newFlagSet("create")
	customer := fs.String("customer", "", "customer that gets the key")
	name := fs.String("name", "", "name of the key")
	command := a.command("create", "", "Creates a key and prints it once; only its SHA-256 is stored.", fs,
		func(ctx context.Context, args []string) error {
			if *customer == "" || *name == "" || len(args) > 0 {
				return usagef("key create needs the flags -customer and -name and takes no arguments")
			}
			return a.withPublisher(func(p *operator.Publisher) error {
				return a.createKey(ctx, p, *customer, *name)
			})
		})
	command.ShortUsage = a.program + " key create [flags]"
	return command
}

func (a *app) createKey(ctx context.Context, p *operator.Publisher, customer, name string) error {
	key := keyPrefix + rand.Text()
	hash := sha256.Sum256([]byte(key))
	config, _, err := publishEdit(ctx, p, func(set *dynamic.Set) error {
		set.Keys = append(set.Keys, dynamic.Key{Name: name, Customer: customer, SHA256: hex.EncodeToString(hash[:])})
		return nil
	})
	if err != nil {
		return err
	}
	if a.json {
		return a.printJSON(createdKey{Name: name, Customer: customer, Key: key, Version: config.Version})
	}
	fmt.Fprintf(a.output, "%s\n", key)
	fmt.Fprintf(a.output, "published version %d; the key is not shown again\n", config.Version)
	return nil
}

func (a *app) keyWithdrawCommand() *ffcli.Command {
	command := a.command("withdraw", "NAME", "Withdraws a key permanently.", newFlagSet("withdraw"),
		func(ctx context.Context, args []string) error {
			name, err := singleName(args)
			if err != nil {
				return err
			}
			return a.edit(ctx, func(set *dynamic.Set) error {
				i := slices.IndexFunc(set.Keys, func(k dynamic.Key) bool { return k.Name == name })
				if i < 0 {
					return errors.Newf("no key %q is published", name)
				}
				set.Keys[i].Withdrawn = true
				return nil
			})
		})
	command.ShortUsage = a.program + " key withdraw [flags] NAME"
	return command
}
