// Package disk stores values in files of a data folder that persist across restarts, such as a copy of the
// configuration for the next start.
//
// A file is replaced atomically: after a crash or a loss of power it holds either the old or the new value. It
// has a checksum, so that Load rejects a damaged file.
//
// Usage:
//
//	err := disk.Save("/data/mothcart", "configuration", copy)
//	found, err := disk.Load("/data/mothcart", "configuration", &copy)
package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/google/renameio/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/publication"
)

// mode lets only the owner read and write a file.
const mode = 0o600

// Save replaces the file name in dir by v, encoded with msgpack.
func Save(dir, name string, v any) error {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return merry.Errorf("encode %s: %w", name, err)
	}
	if err := renameio.WriteFile(filepath.Join(dir, name), publication.Seal(data), mode, renameio.WithTempDir(dir)); err != nil {
		return merry.Errorf("write %s: %w", name, err)
	}
	return nil
}

// Load decodes the file name in dir into v, a pointer. It reports false if there is no such file or dir
// is the empty string.
func Load(dir, name string, v any) (bool, error) {
	if dir == "" {
		return false, nil
	}
	data, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, merry.Errorf("read %s: %w", name, err)
	}
	body, err := publication.Unseal(data)
	if err != nil {
		return false, merry.Errorf("read %s: %w", name, err)
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return false, merry.Errorf("decode %s: %w", name, err)
	}
	return true, nil
}
