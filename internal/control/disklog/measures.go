package disklog

// Measures returns the options that the log in the folder was made with. It fails with ErrForeign where there is no log.
func Measures(fs FileSystem) (Options, error) {
	file, err := fs.Open(controlName)
	if err != nil {
		return Options{}, readError(err, "open", controlName)
	}
	defer func() { _ = file.Close() }() // nothing was written
	contents, err := readControl(file)
	if err != nil {
		return Options{}, err
	}
	if !contents.found {
		return Options{}, ErrForeign.New("%s is empty: there is no log in this folder", controlName)
	}
	return contents.newest.options, nil
}
