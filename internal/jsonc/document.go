package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a parsed JSON document with comments.
type Document struct {
	name string
	text []byte
	root hujson.Value
}

var syntaxLine = regexp.MustCompile(`line (\d+), column \d+: `)

// MaxDepth bounds the nesting depth of a document. Configuration and settings files
// are several times less deep.
const MaxDepth = 64

// Parse parses text. name is the file name in all faults. The error is a Faults value.
func Parse(name string, text []byte) (*Document, error) {
	if line := lineTooDeep(text); line > 0 {
		return nil, Faults{{File: name, Line: line, Problem: "nested too deeply"}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Faults{syntaxFault(name, err)}
	}
	return &Document{name: name, text: text, root: root}, nil
}

// lineTooDeep returns the line at which the nesting exceeds MaxDepth, or 0 if it never
// does. The parser is recursive, and a stack overflow ends the whole process: a
// megabyte of brackets in one patch would stop a daemon.
func lineTooDeep(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return 1 + bytes.Count(text[:i], []byte{'\n'})
		}
	}
	return 0
}

// endOfString returns the offset of the quote that closes the string starting at i.
func endOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset of the last byte of the comment that starts at i, or
// i if no comment starts there.
func endOfComment(text []byte, i int) int {
	end := ""
	switch rest := text[i:]; {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(text[i+2:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}

func syntaxFault(name string, err error) Fault {
	problem := strings.TrimPrefix(err.Error(), "hujson: ")
	fault := Fault{File: name, Line: 1, Problem: problem}
	if m := syntaxLine.FindStringSubmatch(problem); m != nil {
		fault.Line, _ = strconv.Atoi(m[1])
		fault.Problem = strings.Replace(problem, m[0], "", 1)
	}
	return fault
}

// StandardJSON returns the document as standard JSON, without comments.
func (d *Document) StandardJSON() []byte {
	v := d.root.Clone()
	v.Standardize()
	return v.Pack()
}

// DuplicateNames returns a fault for each name that occurs more than once in an
// object, at any depth.
func (d *Document) DuplicateNames() Faults {
	w := walker{doc: d}
	w.checkNames(d.root, "")
	return w.faults
}

func (w *walker) checkNames(v hujson.Value, path string) {
	switch v.Value.(type) {
	case *hujson.Object:
		w.eachMember(v, path, func(_ string, m hujson.ObjectMember, at string) { w.checkNames(m.Value, at) })
	case *hujson.Array:
		for i, e := range v.Value.(*hujson.Array).Elements {
			w.checkNames(e, path+"/"+strconv.Itoa(i))
		}
	}
}

// FaultAt returns a fault for the value at path, with the line of the value or, if it
// does not exist, of its nearest existing parent.
func (d *Document) FaultAt(path, problem string) Fault {
	return Fault{File: d.name, Line: d.lineOf(path), Path: path, Problem: problem}
}

func (d *Document) lineOf(path string) int {
	for {
		if v := d.root.Find(path); v != nil {
			return d.lineAt(v.StartOffset)
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return 1
		}
		path = path[:slash]
	}
}

func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.text[:offset], []byte{'\n'})
}

// Decode decodes the document into dst, a pointer to a struct. It rejects unknown and
// duplicate names and values of the wrong type. The error is a Faults value with all
// faults found; dst must not be used then.
func (d *Document) Decode(dst any) error {
	if faults, _ := d.DecodeFaults(dst); len(faults) > 0 {
		return faults
	}
	return nil
}

// DecodeFaults is like Decode, for callers that validate the decoded values further
// and report all faults at once. decoded is true if every value of a known name has the
// right type; dst then holds these values, and faults lists only unknown and duplicate
// names.
func (d *Document) DecodeFaults(dst any) (faults Faults, decoded bool) {
	w := walker{doc: d}
	w.check(d.root, reflect.TypeOf(dst).Elem(), "")
	if w.mistyped {
		return w.faults, false
	}
	if err := json.Unmarshal(d.StandardJSON(), dst); err != nil {
		return append(w.faults, d.FaultAt("", err.Error())), false
	}
	return w.faults, true
}

type walker struct {
	doc    *Document
	faults Faults
	// mistyped is true if a value has the wrong type.
	mistyped bool
}

// wrongType adds a fault for a value that cannot be decoded.
func (w *walker) wrongType(v hujson.Value, path, format string, args ...any) {
	w.mistyped = true
	w.fault(v, path, format, args...)
}

func (w *walker) fault(v hujson.Value, path, format string, args ...any) {
	w.faults = append(w.faults, Fault{
		File:    w.doc.name,
		Line:    w.doc.lineAt(v.StartOffset),
		Path:    path,
		Problem: fmt.Sprintf(format, args...),
	})
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func (w *walker) check(v hujson.Value, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) {
		w.checkLeaf(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.checkStruct(v, t, path)
	case reflect.Map:
		w.checkMap(v, t, path)
	case reflect.Slice:
		w.checkSlice(v, t, path)
	default:
		w.checkLeaf(v, t, path)
	}
}

func (w *walker) checkStruct(v hujson.Value, t reflect.Type, path string) {
	fields := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	w.eachMember(v, path, func(name string, m hujson.ObjectMember, at string) {
		ft, known := fields[name]
		if !known {
			w.fault(m.Name, at, "unknown field %q", name)
			return
		}
		w.check(m.Value, ft, at)
	})
}

func (w *walker) checkMap(v hujson.Value, t reflect.Type, path string) {
	w.eachMember(v, path, func(_ string, m hujson.ObjectMember, at string) {
		w.check(m.Value, t.Elem(), at)
	})
}

func (w *walker) eachMember(v hujson.Value, path string, visit func(string, hujson.ObjectMember, string)) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.wrongType(v, path, "want an object, got %s", kind(v))
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := path + "/" + EscapeToken(name)
		if seen[name] {
			w.fault(m.Name, at, "duplicate name %q", name)
			continue
		}
		seen[name] = true
		visit(name, m, at)
	}
}

func (w *walker) checkSlice(v hujson.Value, t reflect.Type, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		w.wrongType(v, path, "want a list, got %s", kind(v))
		return
	}
	for i, e := range arr.Elements {
		w.check(e, t.Elem(), path+"/"+strconv.Itoa(i))
	}
}

func (w *walker) checkLeaf(v hujson.Value, t reflect.Type, path string) {
	if kind(v) == "null" {
		w.wrongType(v, path, "want %s, got null", t.Kind())
		return
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		c := v.Clone()
		c.Standardize()
		literal = bytes.TrimSpace(c.Pack())
	}
	if ok && kind(v) == "a string" && t.Kind() == reflect.String && !reflect.PointerTo(t).Implements(unmarshaler) {
		return
	}
	if err := json.Unmarshal(literal, reflect.New(t).Interface()); err != nil {
		w.wrongType(v, path, "want %s, got %s", t.Kind(), literal)
	}
}

func kind(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// EscapeToken escapes a name for use as a reference token of a JSON pointer.
func EscapeToken(name string) string { return pointerEscapes.Replace(name) }
