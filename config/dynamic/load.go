package dynamic

import (
	"os"

	"github.com/cockroachdb/errors"
)

// File is the content of one file of objects.
type File struct {
	Name string
	Data []byte
}

// Source is a Set as read from files, with the place of each object.
type Source struct {
	Set Set

	objects map[objectKey]Position
	fields  map[fieldKey]Position
}

type objectKey struct {
	kind  Kind
	index int
}

type fieldKey struct {
	objectKey
	field string
}

// Load reads the files of JSON with comments into one set. The error is of
// type Faults and names every fault when the files can be read but not
// understood. Load does not Check the set.
func Load(paths ...string) (*Source, error) {
	var files []File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "objects")
		}
		files = append(files, File{Name: path, Data: data})
	}
	return Parse(files...)
}

// Parse reads the files into one set, as Load does.
func Parse(files ...File) (*Source, error) {
	p := &parser{source: &Source{
		objects: map[objectKey]Position{},
		fields:  map[fieldKey]Position{},
	}}
	for _, file := range files {
		p.parseFile(file)
	}
	return p.source, p.faults.Err()
}

// Check checks the whole set, as the function Check does, and adds the place
// of each fault.
func (s *Source) Check() Faults { return s.locate(Check(&s.Set)) }

// CheckChange checks the change from the published set to this one and adds
// the place of each fault.
func (s *Source) CheckChange(published *Set) Faults {
	return s.locate(CheckChange(published, &s.Set))
}

func (s *Source) locate(faults Faults) Faults {
	for i := range faults {
		faults[i].Position = s.position(faults[i])
	}
	return faults
}

func (s *Source) position(f Fault) Position {
	object := objectKey{kind: f.Kind, index: f.Index}
	if at, ok := s.fields[fieldKey{object, f.Field}]; ok {
		return at
	}
	return s.objects[object]
}
