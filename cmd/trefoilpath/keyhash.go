package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/declaration"
)

const (
	// generatedKeyBytes is the number of random bytes in a generated key.
	generatedKeyBytes = 32
	// minKeyBytes is the length of the shortest key that keyhash accepts.
	minKeyBytes = 16
)

// registerKeyhash adds the command that hashes keys for the lists and settings.
func registerKeyhash(app *kingpin.Application) {
	cmd := app.Command("keyhash", "Print the SHA-256 of a bearer key, for key_sha256 in plans.json and operator_key_sha256 in the settings. The key is read from standard input.")
	generate := cmd.Flag("generate", "Generate a random key and print it before its hash.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error { return runKeyhash(*generate) })
}

func runKeyhash(generate bool) error {
	key, err := readKey(generate)
	if err != nil {
		return err
	}
	if generate {
		fmt.Println("key", key)
	}
	fmt.Println("sha256", hexHash(key))
	return nil
}

// hexHash returns the hash of a key in hexadecimal.
func hexHash(key string) string {
	hash := declaration.HashKey(key)
	return hex.EncodeToString(hash[:])
}

// readKey returns a new random key, or the first line of standard input.
func readKey(generate bool) (string, error) {
	if generate {
		random := make([]byte, generatedKeyBytes)
		if _, err := rand.Read(random); err != nil {
			return "", errors.Wrap(err, "generate random key")
		}
		return base64.RawURLEncoding.EncodeToString(random), nil
	}
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return "", errors.Wrap(err, "read key from standard input")
	}
	key := strings.TrimRight(line, "\r\n")
	if len(key) < minKeyBytes {
		return "", errors.Errorf("the key has %d bytes, want at least %d", len(key), minKeyBytes)
	}
	return key, nil
}
