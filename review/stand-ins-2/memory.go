package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// memory is what a process holds, in bytes.
type memory struct {
	// resident is its resident memory, unread what the kernel holds for it of bytes that
	// were received and not yet read.
	resident, unread int64
}

func (m memory) total() int64 { return m.resident + m.unread }

// memoryOf returns the memory of a process.
func memoryOf(pid int) (memory, error) {
	var m memory
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			m.resident = kilobytes << 10
		}
	}
	sockets := make(map[string]bool)
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return m, err
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && strings.HasPrefix(target, "socket:[") {
			sockets[strings.Trim(target, "socket:[]")] = true
		}
	}
	for _, table := range []string{"tcp", "tcp6"} {
		file, err := os.Open(fmt.Sprintf("/proc/%d/net/%s", pid, table))
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			fields := strings.Fields(lines.Text())
			if len(fields) < 10 || fields[3] == "0A" || !sockets[fields[9]] {
				continue
			}
			_, unread, _ := strings.Cut(fields[4], ":")
			bytes, _ := strconv.ParseInt(unread, 16, 64)
			m.unread += bytes
		}
		_ = file.Close()
	}
	return m, nil
}
