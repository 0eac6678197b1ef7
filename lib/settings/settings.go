// Package settings reads an INI file into structs with tags
// `ini:"name" default:"..."`. A field without a default must be set; an empty
// value of a key that has a default counts as not set.
package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Load fills into, a pointer to a struct of sections, from the file at path.
// An error gives file, section, key and reason.
func Load(path string, into any) error {
	f, err := ini.Load(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := fill(f, reflect.ValueOf(into).Elem()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func fill(f *ini.File, v reflect.Value) error {
	known := map[string]bool{ini.DefaultSection: true}
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("ini")
		known[name] = true
		if err := fillSection(f.Section(name), v.Field(i)); err != nil {
			return err
		}
	}
	for _, s := range f.Sections() {
		if !known[s.Name()] {
			return fmt.Errorf("section [%s]: not known", s.Name())
		}
	}
	if keys := f.Section(ini.DefaultSection).KeyStrings(); len(keys) > 0 {
		return fmt.Errorf("key %q stands before any section", keys[0])
	}
	return nil
}

func fillSection(sec *ini.Section, v reflect.Value) error {
	known := map[string]bool{}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := field.Tag.Get("ini")
		known[name] = true
		text, hasDefault := field.Tag.Lookup("default")
		if sec.HasKey(name) && (sec.Key(name).String() != "" || !hasDefault) {
			text = sec.Key(name).String()
		} else if !hasDefault {
			return fmt.Errorf("section [%s]: key %q is missing", sec.Name(), name)
		}
		if err := set(v.Field(i), text); err != nil {
			return fmt.Errorf("section [%s]: key %q: %w", sec.Name(), name, err)
		}
	}
	for _, k := range sec.KeyStrings() {
		if !known[k] {
			return fmt.Errorf("section [%s]: key %q is not known", sec.Name(), k)
		}
	}
	return nil
}

func set(v reflect.Value, text string) error {
	switch v.Interface().(type) {
	case string:
		v.SetString(text)
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return fmt.Errorf("%q is not a duration such as 250ms or 3s", text)
		}
		v.SetInt(int64(d))
	case int:
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return fmt.Errorf("%q is not a whole number from 0", text)
		}
		v.SetInt(int64(n))
	case float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x < 0 {
			return fmt.Errorf("%q is not a number from 0", text)
		}
		v.SetFloat(x)
	case []string:
		v.Set(reflect.ValueOf(list(text)))
	case bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(b)
	default:
		panic(fmt.Sprintf("settings: unsupported field type %v", v.Type()))
	}
	return nil
}

// list splits text at commas and drops empty items; an empty text gives a nil list.
func list(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
