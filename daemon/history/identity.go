package history

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/daemon/wal"
)

// Files in the data directory, and the length of a random member ID.
const (
	memberFile = "member"
	mapFile    = "slots.json"
	idBytes    = 8
)

// loadMember returns the member ID stored on the disk, or stores a new one on an empty disk.
func loadMember(dir string) (string, error) {
	text, err := os.ReadFile(filepath.Join(dir, memberFile))
	if err == nil && len(text) > 0 {
		return strings.TrimSpace(string(text)), nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", failure.Wrap(err, failure.Corrupt, "read member file")
	}
	raw := make([]byte, idBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", failure.Wrap(err, failure.Internal, "generate member ID")
	}
	id := hex.EncodeToString(raw)
	return id, writeFile(dir, memberFile, []byte(id))
}

// loadMap returns the last slot map stored on this disk, or nil.
func loadMap(dir string) (*placement.Map, error) {
	text, err := os.ReadFile(filepath.Join(dir, mapFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "read slot map file")
	}
	m, err := placement.Decode(text)
	return m, failure.Wrap(err, failure.Corrupt, "decode slot map file")
}

// writeFile replaces a file atomically: after a power loss it has either the old or the new
// content.
func writeFile(dir, name string, content []byte) error {
	temp := filepath.Join(dir, name+".new")
	f, err := os.Create(temp)
	if err != nil {
		return failure.Wrap(err, failure.Suspended, "create %s", name)
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return failure.Wrap(err, failure.Suspended, "write %s", name)
	}
	if err := os.Rename(temp, filepath.Join(dir, name)); err != nil {
		return failure.Wrap(err, failure.Suspended, "rename %s", name)
	}
	return wal.SyncDir(dir)
}
