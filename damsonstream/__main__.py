import sys

from damsonstream.program.cli import main

if __name__ == "__main__":
    sys.exit(main())
