package measure

import (
	"bytes"
	"fmt"
	"os"
)

// Insert replaces the text of a page between the marks of a name:
// <!-- begin NAME --> and <!-- end NAME -->.
func Insert(path, name, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	begin := fmt.Appendf(nil, "<!-- begin %s -->\n", name)
	end := fmt.Appendf(nil, "<!-- end %s -->", name)
	i, j := bytes.Index(page, begin), bytes.Index(page, end)
	if i < 0 || j < i {
		return fmt.Errorf("%s has no marks for %q", path, name)
	}
	var out bytes.Buffer
	out.Write(page[:i+len(begin)])
	out.WriteString(text)
	out.Write(page[j:])
	return os.WriteFile(path, out.Bytes(), 0o644)
}
