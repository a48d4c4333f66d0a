package ctl

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/operator/certificates"
)

const (
	day = 24 * time.Hour

	defaultAuthorityValidity = 5 * 365 * day
	defaultValidity          = 90 * day

	authorityFile = "authority"
	certSuffix    = ".crt"
	keySuffix     = ".key"
	// pairFileMode denies other users access to files with private keys.
	pairFileMode = 0o600
)

func (a *app) certificateCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "certificate",
		ShortUsage:  a.program + " certificate <authority | issue> [flags]",
		ShortHelp:   "Creates TLS certificates and keys for entry instances. None of them are stored or published.",
		FlagSet:     newFlagSet("certificate"),
		Subcommands: []*ffcli.Command{a.certificateAuthorityCommand(), a.certificateIssueCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (a *app) certificateAuthorityCommand() *ffcli.Command {
	fs := newFlagSet("authority")
	validity := fs.Duration("validity", defaultAuthorityValidity, "time for which the authority is valid, from 1h to 87600h")
	dir := fs.String("dir", "", "directory for authority.crt and authority.key; empty prints both")
	command := a.command("authority", "", "Creates an authority that signs the certificates of entry instances.", fs,
		func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("certificate authority takes no arguments")
			}
			pair, err := certificates.NewAuthority(time.Now(), *validity)
			if err != nil {
				return &usageError{text: err.Error()}
			}
			return a.writePair(pair, *dir, authorityFile)
		})
	command.ShortUsage = a.program + " certificate authority [flags]"
	return command
}

func (a *app) certificateIssueCommand() *ffcli.Command {
	fs := newFlagSet("issue")
	name := fs.String("name", "", "name of the entry instance, as in its settings")
	certFile := fs.String("authority-cert", authorityFile+certSuffix, "file with the certificate of the authority")
	keyFile := fs.String("authority-key", authorityFile+keySuffix, "file with the private key of the authority")
	validity := fs.Duration("validity", defaultValidity, "time for which the certificate is valid, from 1h to 9552h; it expires with the authority at the latest")
	dir := fs.String("dir", "", "directory for NAME.crt and NAME.key; empty prints both")
	command := a.command("issue", "", "Creates the certificate and key of one entry instance.", fs,
		func(_ context.Context, args []string) error {
			if *name == "" || len(args) > 0 {
				return usagef("certificate issue needs the flag -name and takes no arguments")
			}
			authority, err := readPair(*certFile, *keyFile)
			if err != nil {
				return err
			}
			pair, err := certificates.Issue(authority, *name, time.Now(), *validity)
			if err != nil {
				return err
			}
			return a.writePair(pair, *dir, *name)
		})
	command.ShortUsage = a.program + " certificate issue [flags]"
	return command
}

func readPair(certFile, keyFile string) (*certificates.Pair, error) {
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return nil, errors.Wrap(err, "certificate of the authority")
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "private key of the authority")
	}
	return &certificates.Pair{CertPEM: cert, KeyPEM: key}, nil
}

// issuedPair is the result of a command that created a certificate. The PEM texts
// are empty if they were written to files.
type issuedPair struct {
	Certificate string    `json:"certificate,omitempty"`
	Key         string    `json:"key,omitempty"`
	Files       []string  `json:"files,omitempty"`
	NotAfter    time.Time `json:"not_after"`
}

// writePair prints the pair or, if dir is set, writes it to two new files there.
func (a *app) writePair(pair *certificates.Pair, dir, name string) error {
	result := issuedPair{NotAfter: pair.NotAfter}
	if dir == "" {
		result.Certificate, result.Key = string(pair.CertPEM), string(pair.KeyPEM)
	} else {
		base := filepath.Join(dir, name)
		result.Files = []string{base + keySuffix, base + certSuffix}
		if err := writeNewFile(result.Files[0], pair.KeyPEM); err != nil {
			return err
		}
		if err := writeNewFile(result.Files[1], pair.CertPEM); err != nil {
			return errors.Join(err, os.Remove(result.Files[0]))
		}
	}
	if a.json {
		return a.printJSON(result)
	}
	fmt.Fprint(a.output, result.Certificate, result.Key)
	for _, file := range result.Files {
		fmt.Fprintf(a.output, "wrote %s, valid until %s\n", file, pair.NotAfter.Format(time.RFC3339))
	}
	return nil
}

// writeNewFile writes a file that must not exist yet, so that no key is overwritten.
func writeNewFile(file string, data []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, pairFileMode)
	if err != nil {
		return errors.Wrap(err, "file for the certificate or key")
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}
